import hypothesis

# The same examples in every run, so that CI gives one verdict.
hypothesis.settings.register_profile(
    'same', derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile('same')
