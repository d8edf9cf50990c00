/** Log events of the daemons. Event numbers are never reused. docs/EVENTS.md is generated from this table. */

type EventLevel = 'info' | 'warn' | 'error';

/** One kind of event. */
export interface EventKind {
  /** Number under which operators find the event in docs/EVENTS.md. */
  readonly number: number;
  /** Name in log lines. */
  readonly name: string;
  readonly level: EventLevel;
  /** Text of the log line. */
  readonly message: string;
  /** What it means and what to do, for operators. */
  readonly meaning: string;
}

function define(
  number: number,
  name: string,
  level: EventLevel,
  message: string,
  meaning: string,
): EventKind {
  return { number, name, level, message, meaning };
}

/** All events, numbered by source. 1xx: any daemon; 2xx: proxy; 3xx: control. */
export const Events = {
  started: define(
    101,
    'started',
    'info',
    'process started',
    'The daemon listens on the configured addresses. No action needed.',
  ),
  stopping: define(
    103,
    'stopping',
    'info',
    'planned stop began',
    'SIGTERM or SIGINT was received. A proxy first completes requests and transactions in flight.',
  ),
  stopped: define(
    104,
    'stopped',
    'info',
    'process stopped',
    '`cut_off` is the number of callers whose connections were still busy at the stop deadline; it should be 0.',
  ),
  connectionError: define(
    105,
    'connection_error',
    'warn',
    'a connection failed',
    'A peer or a caller violated the protocol or disconnected. Investigate if it is frequent.',
  ),
  configurationInForce: define(
    201,
    'configuration_in_force',
    'info',
    'a configuration is in force',
    'The proxy stored the revision durably and uses it.',
  ),
  primaryChanged: define(
    202,
    'primary_changed',
    'warn',
    'the primary of a group changed',
    'While `primary` is empty, writes wait or are refused. Investigate the group if this persists.',
  ),
  seatsChanged: define(
    203,
    'seats_changed',
    'info',
    'the seats of this proxy changed',
    'Seats divide the slots and connections of a group among its gateways.',
  ),
  roleChanged: define(
    301,
    'role_changed',
    'info',
    'the consensus role changed',
    'One control machine should lead. Frequent changes point to a slow disk or network.',
  ),
  revisionApplied: define(
    302,
    'revision_applied',
    'info',
    'an accepted revision was applied',
    'The machine serves the revision to proxies on request.',
  ),
  documentInForce: define(
    211,
    'document_in_force',
    'info',
    'a routing document is in force',
    'The proxy routes by this version from the next statement on.',
  ),
  catalogInForce: define(
    212,
    'catalog_in_force',
    'info',
    'a newer catalog is in force',
    'Instances, epochs and proxies as of this log index are in use.',
  ),
  connectFailed: define(
    213,
    'connect_failed',
    'warn',
    'a connection to an instance could not be opened',
    '`failure` is the reason: refused, silent (no answer), connectionLimit, wrongInstance or busy. The instance is avoided.',
  ),
  instanceBusy: define(
    214,
    'instance_busy',
    'warn',
    'an instance was busy; it is sent fewer statements',
    '`window` is the new limit on concurrent statements, `pause_ms` how long none is sent, `waiting` the number of queued requests.',
  ),
  requestRefused: define(
    221,
    'request_refused',
    'warn',
    'a request was refused and had no effect',
    '`cause` is the reason. `epoch`, `phase`, `leased` and `floor_age_ms` are the state of the proxy at that time.',
  ),
  requestInDoubt: define(
    222,
    'request_in_doubt',
    'warn',
    'the outcome of a request is unknown',
    'It was sent and no trusted answer was received. Check for a change of primary of `group` at that time.',
  ),
  requestRetried: define(
    223,
    'request_retried',
    'info',
    'a request is retried',
    'An attempt on `instance` gave no usable result; `cause` is the reason. Nothing ran twice.',
  ),
  linesLeftOut: define(
    231,
    'lines_left_out',
    'info',
    'log lines were suppressed by the rate limit',
    '`left_out` lines of `of_event` were not written in the last interval.',
  ),
  controlLost: define(
    232,
    'control_lost',
    'warn',
    'the leading control machine does not answer',
    'Leases expire and primaries are not used until it answers; the proxy tries other machines and proxies.',
  ),
  controlRequestFailed: define(
    236,
    'control_request_failed',
    'info',
    'a request to a control machine or through another proxy failed',
    'The request was sent to `address`; `reason` is the failure, or that the machine named no leader. A single event is harmless.',
  ),
  controlRegained: define(
    233,
    'control_regained',
    'info',
    'a leading control machine answers again',
    'No action needed.',
  ),
  leaseWitnessed: define(
    235,
    'lease_witnessed',
    'info',
    'the replicas of a group were asked whether its primary still leads, while control is out of reach',
    '`confirmed`: the primary stays in use. Any other outcome is the reason why its lease ends.',
  ),
  zoneEvacuated: define(
    253,
    'zone_evacuated',
    'warn',
    'the evacuation of a zone is in force at this proxy',
    'No more reads are sent there; its primaries are used until they are replaced or half of the time limit has passed.',
  ),
  zoneReadmitted: define(
    254,
    'zone_readmitted',
    'info',
    'a zone is used again',
    'Its instances receive reads again; primaries are not moved back.',
  ),
  transactionsEvacuated: define(
    255,
    'transactions_evacuated',
    'info',
    'transactions in an evacuated zone were ended between two statements',
    'Their callers receive an error that the transaction was aborted and may restart it. `stage` rested: only idle transactions were ended.',
  ),
  credentialUnknown: define(
    241,
    'credential_unknown',
    'info',
    'a caller presented a credential that belongs to no tenant',
    '`document` is the newest version, confirmed `document_age_ms` ago. The credential itself is never logged.',
  ),
  tenantOverLimit: define(
    242,
    'tenant_over_limit',
    'info',
    'a tenant requests more operations than its limit allows',
    'Its requests are refused at once; `leader` counts them. `retry_after_ms` was returned to one of them. Logged once a second per tenant.',
  ),
  relayFailed: define(
    243,
    'relay_failed',
    'error',
    'a statement of another proxy could not be run for an unexpected reason',
    '`reason` is the error. The other proxy received the answer that the outcome is unknown.',
  ),
  waitingDisplaced: define(
    244,
    'waiting_displaced',
    'info',
    'a request queued for a full instance was displaced by more urgent requests and would miss its deadline',
    'It did not run, and its caller is notified at once. `waiting` requests remain queued; check for a burst or a missing replica.',
  ),
  messageTraffic: define(
    238,
    'message_traffic',
    'info',
    'bytes of internal messages since the start',
    'Totals by kind of message and direction, including framing.',
  ),
  coldInstanceRefused: define(
    256,
    'cold_instance_refused',
    'info',
    'a request for an instance that is warming up was refused',
    'Callers receive a retry delay. `refused` counts since the start. Without a `holder`, or if the proxy with `is_holder` has no lease, no proxy may send to the instance: check event 340 and the holder. Otherwise its rate limit is reached.',
  ),
  settingsReloaded: define(
    234,
    'settings_reloaded',
    'info',
    'settings were reloaded',
    'Only the list of control machines is applied.',
  ),
  settingsRefused: define(
    237,
    'settings_refused',
    'warn',
    'changed settings could not be applied',
    'The process keeps its current settings; `reason` names the field. Correct the settings file.',
  ),
  relayOutsideHomes: define(
    258,
    'relay_outside_homes',
    'warn',
    'another proxy sent a statement that is not allowed in this region',
    'Its allowed regions do not include the region of this proxy or of the instance; it was not run. Compare the `zones` in the settings of both machines.',
  ),
  instanceUnused: define(
    259,
    'instance_unused',
    'warn',
    'a catalog entry does not describe a usable instance',
    '`reason` is what is missing. Nothing is sent there until a heartbeat, or a document that names its service, completes the entry.',
  ),
  callRefused: define(
    343,
    'call_refused',
    'warn',
    'a call of an operator or an instance was refused',
    'It changed nothing. `status` and `reason` give the cause, for example a heartbeat of another writer. `whinyoke_api_refused_total` counts all refusals.',
  ),
  documentUnreadable: define(
    344,
    'document_unreadable',
    'error',
    'the newest routing document cannot be read',
    'Another version of the program accepted it. Primaries are placed by the preceding document. Submit a configuration that this version can read.',
  ),
  issuerPassedOver: define(
    263,
    'issuer_passed_over',
    'warn',
    'an issuer of operations did not answer',
    'Operations for `waiting` requests are requested from the leader; for 1 s, later ones are requested from another proxy of the zone.',
  ),
  issuerLeft: define(
    264,
    'issuer_left',
    'info',
    'this proxy returns its reserves of operations before it stops',
    'The reserves of `tenants` go back to the leader; other proxies of the zone become their issuers.',
  ),
  allowancesBegun: define(
    325,
    'allowances_begun',
    'info',
    'a new leader grants operations to tenants',
    'It starts with the reserves recorded in the log. `runs` proxy incarnations may have reserves unknown to it; until they are known it adds none.',
  ),
  allowancesKnown: define(
    326,
    'allowances_known',
    'info',
    'the leader knows all reserves of operations',
    'It adds to reserves again, `after_ms` after its election.',
  ),
  slowStartHolderNamed: define(
    340,
    'slow_start_holder_named',
    'info',
    'one proxy alone may send requests to an instance that is warming up',
    '`holder` replaces `former`, which was silent for `silent_ms`. If frequent for one instance, its holders cannot reach control.',
  ),
  instanceColdnessChanged: define(
    341,
    'instance_coldness_changed',
    'info',
    'an instance started or finished its warm-up',
    '`cold_since` is the log index of the start. An instance stays cold until its heartbeats report the end of the warm-up.',
  ),
  allowancesFresh: define(
    350,
    'allowances_fresh',
    'info',
    'all proxies have restarted, so no reserve granted by former leaders is in use',
    'Occurs after a total power loss: reserves of tenants accrue from the start of the last proxy, `before_ms` before the election.',
  ),
  primaryChangeBegun: define(
    311,
    'primary_change_begun',
    'warn',
    'a change of primary has begun',
    '`cause` is the evidence. Leases on the old primary are being revoked.',
  ),
  primaryChangeStep: define(
    312,
    'primary_change_step',
    'info',
    'a step of a change of primary was completed',
    '`step` and the time since the change began. The change is stuck at the first step that is missing.',
  ),
  primaryCandidates: define(
    313,
    'primary_candidates',
    'info',
    'candidates for a primary were compared',
    '`choice` is none while no replica provably has every acknowledged commit.',
  ),
  primaryAsked: define(
    347,
    'primary_asked',
    'info',
    'control probed a primary that proxies report as unresponsive, or whose connection owners they cannot reach',
    '`answer` answered: it is alive, and is kept unless `replication_stalled`; silent or refused twice in a row: it is considered lost.',
  ),
  primaryChangeFailed: define(
    314,
    'primary_change_failed',
    'warn',
    'a step of a change of primary failed',
    '`reason` is the cause. The current leader retries the step; investigate if it repeats.',
  ),
  catalogChangeFailed: define(
    323,
    'catalog_change_failed',
    'warn',
    'a change or a read of the catalog failed',
    'The sender received an unavailable error and retries. `reason` is the cause, for example a full disk.',
  ),
  documentAccepted: define(
    321,
    'document_accepted',
    'info',
    'an operator submitted a routing document',
    '`outcome` was returned to the operator; `held` is the version that was in force before.',
  ),
  addressClaimRefused: define(
    324,
    'address_claim_refused',
    'warn',
    'an unknown instance announced an address that another instance uses',
    '`claim` refused: another instance answers at the address, so the heartbeat is out of date. unclear: the address could not be probed; the probe is retried.',
  ),
  instanceReplaced: define(
    250,
    'instance_replaced',
    'warn',
    'an instance restarted; the connections to its former incarnation were closed',
    '`former` and `incarnation` are its numbers in the catalog. Requests in flight there are reported as lost or in doubt.',
  ),
  primaryStartedAgain: define(
    251,
    'primary_started_again',
    'warn',
    'the primary of a group restarted; this proxy has ended its lease on that epoch',
    '`sign` is the evidence. Control replaces it; if no 330 and 310 follow there, investigate the instance.',
  ),
  instanceStartedAgain: define(
    330,
    'instance_started_again',
    'warn',
    'an instance restarted under its identifier without its former data',
    '`incarnation` is its number in the catalog; `born` and `former_born` are the reported start times (Unix ms).',
  ),
  formerIncarnationHeard: define(
    331,
    'former_incarnation_heard',
    'info',
    'a late message of a former incarnation was ignored',
    '`message` heartbeat or deregister; `born` is its start time, `present_born` that of the current incarnation (Unix ms).',
  ),
  incarnationCaughtUp: define(
    332,
    'incarnation_caught_up',
    'info',
    'a restarted instance has caught up with everything that its former incarnation had confirmed',
    'Until then it counts as a missing replica when a primary is chosen.',
  ),
  evacuationOrdered: define(
    335,
    'evacuation_ordered',
    'warn',
    'an operator requested the evacuation of a zone, or its end',
    '`outcome` was returned to the operator; `begins` false: the zone is used again.',
  ),
  evacuationProgress: define(
    336,
    'evacuation_progress',
    'info',
    'progress of the evacuation of a zone',
    '`primaries` are still in the zone; `stuck` of them have no ready instance elsewhere, and their requests are refused.',
  ),
  instanceTold: define(
    322,
    'instance_told',
    'info',
    'an instance announced a change of its state',
    '`state` is the announced state; `outcome` tells whether it was replicated.',
  ),
} as const satisfies Record<string, EventKind>;

/** All events, by number. */
export function allEvents(): readonly EventKind[] {
  return Object.values(Events).sort((left, right) => left.number - right.number);
}
