"""The target size of the system, the budgets of a node and assumptions on traffic.

Sizes are in bytes; names that end in ``_S`` are seconds.
"""

DAY_S = 86_400

# The target size: counts of the whole system, and its rates.
NODES = 950
REPLICAS = 6_200  # of all versions together
REGIONS = 7
FAILURE_DOMAINS = 16  # of all regions together
VERSIONS = 35
REQUESTS_PER_S = 54_000
TOKENS_PER_S = 13_000_000
CHANGES_PER_DAY = 15_000  # of the configuration
FAILURES_PER_DAY = 120  # of VMs
RESTARTS_PER_DAY = 730  # of VMs

# Budgets for control on one node; CPU is a share of a core.
BUDGET_CPU = 0.027
BUDGET_BYTES_PER_S = 26_000  # sent and received
BUDGET_MEMORY_BYTES = 256 * 1024 * 1024
BUDGET_IN_FORCE_S = 4.0  # until a change is in force on all nodes

# Budgets for the platform calls of all nodes together.
BUDGET_PLATFORM_WRITES_PER_S = 300
BUDGET_PLATFORM_READS_PER_S = 1_000

# All further values are assumed, until the system runs at this size. "Planned" ones
# belong to a mechanism that is not built yet.

# Propagation of a change of the configuration.
CHANGE_BYTES = 2_000
ONE_WAY_BETWEEN_REGIONS_S = 0.15  # network delay
REGION_CROSSINGS = 2  # of a change, from acceptance to the last node

TOKEN_INTERVAL_S = 0.033  # between two tokens of a stream

# Claims: rows that give one attempt the sole right to make a call.
CLAIMED_CALL_SHARE = 0.02  # calls that may not be repeated
BATCHED_CLAIM_WRITES_PER_S = 150  # writes to the platform, many claims each
CLAIM_SHARDS = 64  # planned
CLAIM_BYTES = 400  # a claim with its answer

# Bills: each node sends copies to a peer and writes its own to the platform.
BILL_BYTES = 150  # a record
BILL_BATCH_S = 0.2  # planned: copies of this time go in one call
BILL_COMPRESSED_BYTES = 50  # planned: a record within such a call
BILL_WRITE_INTERVAL_S = 10.0  # between two objects that a node writes

# Statistics: sums of the ratings, costs and latencies that a node has seen.
STATISTICS_BYTES = 2_000  # of one node
STATISTICS_PERIOD_S = 5.0  # between two publications of a node
REGION_STATISTICS_PERIOD_S = 300.0  # planned: the same for the merged sums of a region

# Polling of endpoints, and the load reports that the watchers of endpoints publish.
REPORT_BYTES = 24  # of one endpoint
REPORT_PERIOD_S = 0.5  # between two polls and reports of an endpoint
STATUS_BYTES = 900  # status answer of an endpoint to a poll
REDUCED_REPORT_PERIOD_S = 2.0  # planned in place of REPORT_PERIOD_S
ENDPOINTS_USED_PER_VERSION = 8  # planned: replicas of a version that one node uses

# Permits for endpoints in cold start.
COLD_STARTS_PER_REPLICA_DAY = 2
COLD_REQUESTS_PER_START = 50  # that need a permit each

# Stamps of configuration readers: the time at which their revision was the newest.
STAMP_INTERVAL_S = 0.5  # between two polls of a reader, each with a new stamp
STAMP_BYTES = 10

CONCURRENT_ROLL_OUTS = 3

# The directory, which tells callers the addresses of nodes.
CALLERS = 20_000  # that ask for addresses
ADDRESSES_GIVEN = 16  # planned: in one answer, in place of all
ADDRESS_BYTES = 70
