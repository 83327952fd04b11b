"""Three runners become one while bursts come."""

from limpetroute.bench import batch_engine
from limpetroute.bench import fleet_play
from limpetroute.decisions import stage as stage_module

LONE_SINCE_S = 15.3
LAST_SENT_S = 34.0
USUAL_PER_S = 3.84
LOAD = fleet_play.Load(
    streams_per_s=(
        (0.0, USUAL_PER_S),
        (6.0, USUAL_PER_S * 1.6),
        (11.0, USUAL_PER_S),
        (17.0, USUAL_PER_S * 2.3),
        (21.0, USUAL_PER_S),
        (27.0, USUAL_PER_S * 1.7),
        (31.0, USUAL_PER_S),
    ),
    until_s=LAST_SENT_S,
)


def play(seed, *, slow_factor=1.0):
    """Play the load while runners leave, until one decode runner is left.

    One drains, the other goes dark, its streams are resumed at its
    successor, and the prefill runner leaves last.
    """
    played = fleet_play.FleetPlay(
        seed=seed, load=LOAD, shape=batch_engine.EngineShape()
    )
    last_shape = batch_engine.EngineShape(slow_factor=slow_factor)

    def succeed():
        played.remove('dark')
        played.add('last', stage_module.Stage.DECODE, shape=last_shape)

    played.add('drains', stage_module.Stage.DECODE)
    played.add('dark', stage_module.Stage.DECODE)
    played.add('reader', stage_module.Stage.PREFILL)
    played.at(8.1, lambda: played.drain('drains'))
    played.at(9.3, lambda: played.go_dark('dark'))
    played.at(13.5, succeed)
    played.at(LONE_SINCE_S, lambda: played.remove('reader'))
    played.run()
    return played
