from limpetroute.control import replacements


def test_orders_expire_on_all_hosts_although_they_exchange_them():
    """Guards against an order that hosts send to each other forever.

    Each host accepted the order from the other as new after its own had
    expired, so the replaced host could never be put back.
    """
    one = replacements.Replacements()
    other = replacements.Replacements()
    one.note('c3', 'c4', 0.0)
    for now_s in range(0, 1300, 5):
        other.receive(one.bodies(now_s), now_s)
        one.receive(other.bodies(now_s), now_s)
        one.expire(now_s)
        other.expire(now_s)
    assert one.all() == other.all() == {}


def test_a_host_is_put_back_by_a_later_order():
    one = replacements.Replacements()
    other = replacements.Replacements()
    one.note('c3', 'c4', 0.0)
    other.receive(one.bodies(10.0), 10.0)
    one.note('c4', 'c3', 20.0)
    one.receive(other.bodies(21.0), 21.0)
    other.receive(one.bodies(21.0), 21.0)
    assert one.all() == other.all() == {'c4': 'c3'}
