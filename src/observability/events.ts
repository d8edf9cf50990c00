/**
 * Numbered events of the daemons. Owns the numbers, which are never reused; docs/EVENTS.md is made from this table. Relies on
 * nothing that may fail.
 */

/** Severity of an event. */
type EventLevel = 'info' | 'warn' | 'error';

/** One kind of event. */
export interface EventKind {
  /** Number, which operators look up. */
  readonly number: number;
  /** Name in log lines. */
  readonly name: string;
  /** Severity. */
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

/** All events. 1xx: any daemon; 2xx: proxy; 3xx: control. */
export const Events = {
  started: define(
    101,
    'started',
    'info',
    'process started',
    'The daemon listens on the addresses given. Nothing to do.',
  ),
  stopping: define(
    103,
    'stopping',
    'info',
    'planned stop began',
    'SIGTERM or SIGINT arrived. A proxy finishes requests and transactions under way first.',
  ),
  stopped: define(
    104,
    'stopped',
    'info',
    'process stopped',
    '`cut_off` counts callers that were still busy at the end of the stop deadline; it should be 0.',
  ),
  connectionError: define(
    105,
    'connection_error',
    'warn',
    'a connection failed',
    'A peer or a caller broke the protocol or went away. Look further when there are many.',
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
    'With an empty `primary`, writes wait or are refused. Look at the group when it lasts.',
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
    'The machine hands the revision to the proxies that ask it.',
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
    '`failure` says how: refused, silent, connectionLimit, wrongInstance or busy. The instance is avoided.',
  ),
  instanceBusy: define(
    214,
    'instance_busy',
    'warn',
    'an instance was busy; it is sent fewer statements',
    '`window` is how many at a time from now on, `pause_ms` how long none, `waiting` who waits for a turn.',
  ),
  requestRefused: define(
    221,
    'request_refused',
    'warn',
    'a request was refused; nothing of it is kept',
    '`cause` says why. `epoch`, `phase`, `leased` and `floor_age_ms` are what the proxy believed then.',
  ),
  requestInDoubt: define(
    222,
    'request_in_doubt',
    'warn',
    'the outcome of a request is unknown',
    'It was sent and no trusted answer came. Look for a change of primary of `group` at that time.',
  ),
  requestRetried: define(
    223,
    'request_retried',
    'info',
    'a request is tried again',
    'An attempt at `instance` brought nothing that counts; `cause` says why. Nothing ran twice.',
  ),
  linesLeftOut: define(
    231,
    'lines_left_out',
    'info',
    'log lines were left out to bound the volume',
    '`left_out` lines of `of_event` were not written in the last interval.',
  ),
  controlLost: define(
    232,
    'control_lost',
    'warn',
    'the leading control machine does not answer',
    'Leases end and primaries are not used until it is back; the proxy asks other machines and proxies.',
  ),
  controlRequestFailed: define(
    236,
    'control_request_failed',
    'info',
    'a request to a control machine or through another proxy failed',
    '`address` was asked; `reason` tells how it failed, or that the machine named no leader. One alone is harmless.',
  ),
  controlRegained: define(
    233,
    'control_regained',
    'info',
    'a leading control machine answers again',
    'Nothing to do.',
  ),
  leaseWitnessed: define(
    235,
    'lease_witnessed',
    'info',
    'the replicas of a group were asked whether its primary still leads, while control is out of reach',
    '`confirmed`: the primary is used on. Anything else is the reason why its lease ends.',
  ),
  zoneEvacuated: define(
    253,
    'zone_evacuated',
    'warn',
    'the evacuation of a zone is in force at this proxy',
    'No read goes there from now on; its primaries are used until they are replaced, or half of the bound is over.',
  ),
  zoneReadmitted: define(
    254,
    'zone_readmitted',
    'info',
    'a zone is used again',
    'Its instances get reads again; primaries stay where they are.',
  ),
  transactionsEvacuated: define(
    255,
    'transactions_evacuated',
    'info',
    'transactions in an evacuated zone were ended between two statements',
    'Their callers are told that they were aborted and may begin again. `stage` rested: only those that had rested.',
  ),
  credentialUnknown: define(
    241,
    'credential_unknown',
    'info',
    'a caller named a credential that no tenant holds',
    '`document` is the newest version, confirmed `document_age_ms` ago. The credential itself is never written.',
  ),
  tenantOverLimit: define(
    242,
    'tenant_over_limit',
    'info',
    'a tenant asks for more operations than its limit allows',
    'Its requests are refused at once; `leader` counts them. `retry_after_ms` is what one was told. Once a second a tenant.',
  ),
  relayFailed: define(
    243,
    'relay_failed',
    'error',
    'a statement of another proxy could not be run for an unexpected reason',
    '`reason` names the error. The other proxy was told that the outcome is unknown.',
  ),
  waitingDisplaced: define(
    244,
    'waiting_displaced',
    'info',
    'a request that waited for a full instance will not be served in time, since more urgent ones came',
    'It did not run, and its caller is told at once. `waiting` requests wait on; look for a burst or a missing replica.',
  ),
  messageTraffic: define(
    238,
    'message_traffic',
    'info',
    'bytes of internal messages since the start',
    'By kind of message and direction, with frames. What grows fastest is what the network carries.',
  ),
  coldInstanceRefused: define(
    256,
    'cold_instance_refused',
    'info',
    'a request for an instance that warms up was refused',
    'Its callers are told when to come back. `refused` since the start. Without a `holder`, or a lease of the one that `is_holder`, nobody may send to the instance: look for event 340 and the holder. Otherwise its rate is used up.',
  ),
  settingsReloaded: define(
    234,
    'settings_reloaded',
    'info',
    'settings were read again',
    'Only the list of control machines is taken over.',
  ),
  settingsRefused: define(
    237,
    'settings_refused',
    'warn',
    'changed settings could not be taken over',
    'The process goes on with those that it has; `reason` names the field. Correct the settings file.',
  ),
  relayOutsideHomes: define(
    258,
    'relay_outside_homes',
    'warn',
    'another proxy sent a statement that may not be here',
    "Its homes don't hold the region of this proxy or of the instance; it was not run. Compare the `zones` in the settings of both machines.",
  ),
  instanceUnused: define(
    259,
    'instance_unused',
    'warn',
    'an entry of the catalog names no instance to use',
    '`reason` tells what it lacks. Nothing is sent there until a heartbeat, or a document that names its service, mends it.',
  ),
  callRefused: define(
    343,
    'call_refused',
    'warn',
    'a call of an operator or an instance was refused',
    'It changed nothing. `status` and `reason` tell why; a heartbeat of another writer, for instance. `whinyoke_api_refused_total` counts all.',
  ),
  documentUnreadable: define(
    344,
    'document_unreadable',
    'error',
    'the newest routing document can not be read',
    'Another version of the program accepted it. Primaries are placed by the document before it. Send a configuration that this version reads.',
  ),
  issuerPassedOver: define(
    263,
    'issuer_passed_over',
    'warn',
    'an issuer of operations did not answer',
    'Operations of `waiting` requests are asked of the leader, for 1 s those that follow of another proxy of the zone.',
  ),
  issuerLeft: define(
    264,
    'issuer_left',
    'info',
    'this proxy hands over its reserves of operations, since it is to stop',
    'The leader gets the reserves of `tenants` back; other proxies of the zone become their issuers.',
  ),
  allowancesBegun: define(
    325,
    'allowances_begun',
    'info',
    'a new leader grants operations of tenants',
    'It begins with what the log left it. `runs` of proxies may hold reserves that it does not know; it adds none meanwhile.',
  ),
  allowancesKnown: define(
    326,
    'allowances_known',
    'info',
    'the leader knows all reserves of operations',
    'From `after_ms` after its election on it adds to reserves again.',
  ),
  slowStartHolderNamed: define(
    340,
    'slow_start_holder_named',
    'info',
    'a proxy alone may send requests to an instance that warms up',
    '`holder` in place of `former`, after which `silent_ms` passed. Frequent lines for an instance: its holders are cut off from control.',
  ),
  instanceColdnessChanged: define(
    341,
    'instance_coldness_changed',
    'info',
    'an instance warms up from now on, or is warm',
    '`cold_since` is the log index of the begin. A cold one whose heartbeats tell no end of its warm-up stays cold.',
  ),
  allowancesFresh: define(
    350,
    'allowances_fresh',
    'info',
    'all proxies have started anew, so nothing that former leaders granted is in use',
    'After a loss of all power: the rates of tenants add since the last proxy started, `before_ms` before the election.',
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
    'a step of a change of primary is done',
    '`step` and the time since the begin. A step that is missing is where the change is stuck.',
  ),
  primaryCandidates: define(
    313,
    'primary_candidates',
    'info',
    'candidates for a primary were compared',
    '`choice` is none while no replica provably holds every acknowledged commit.',
  ),
  primaryAsked: define(
    347,
    'primary_asked',
    'info',
    'control itself asked a primary that proxies find silent, or whose connection owners they do not reach',
    '`answer` answered: it is there, and is kept unless `replication_stalled`; silent or refused twice in a row: it is lost.',
  ),
  primaryChangeFailed: define(
    314,
    'primary_change_failed',
    'warn',
    'a step of a change of primary failed',
    '`reason` tells why. The step is tried again, by whoever leads then; look further when it repeats.',
  ),
  catalogChangeFailed: define(
    323,
    'catalog_change_failed',
    'warn',
    'a change or a read of the catalog failed',
    'The sender was told that it is unavailable and comes again. `reason` names the cause, a full disk for instance.',
  ),
  documentAccepted: define(
    321,
    'document_accepted',
    'info',
    'an operator sent a routing document',
    '`outcome` is what the operator was told; `held` the version in force before.',
  ),
  addressClaimRefused: define(
    324,
    'address_claim_refused',
    'warn',
    'an instance that was not known told an address at which another one is',
    '`claim` refused: the one at the address is another; a late heartbeat. unclear: it could not be asked, and is again.',
  ),
  instanceReplaced: define(
    250,
    'instance_replaced',
    'warn',
    'an instance started again; the connections to its former incarnation were closed',
    '`former` and `incarnation` are its numbers in the catalog. What was under way there is told as lost or in doubt.',
  ),
  primaryStartedAgain: define(
    251,
    'primary_started_again',
    'warn',
    'the primary of a group started again; this proxy has ended its lease on that epoch',
    '`sign` is what showed it. Control replaces it; if no 330 and 310 follow there, look at that instance.',
  ),
  instanceStartedAgain: define(
    330,
    'instance_started_again',
    'warn',
    'an instance started again under its identifier, and holds nothing of before',
    '`incarnation` is its number in the catalog; `born` and `former_born` are the start times that it told (Unix ms).',
  ),
  formerIncarnationHeard: define(
    331,
    'former_incarnation_heard',
    'info',
    'a message of an incarnation that has ended came late; it changed nothing',
    '`message` heartbeat or deregister; `born` is its start time, `present_born` that of the present incarnation (Unix ms).',
  ),
  incarnationCaughtUp: define(
    332,
    'incarnation_caught_up',
    'info',
    'an instance that started again holds everything that its former incarnation had confirmed',
    'Until then it counts as a replica that is missing when a primary is chosen.',
  ),
  evacuationOrdered: define(
    335,
    'evacuation_ordered',
    'warn',
    'an operator ordered to evacuate a zone, or to use it again',
    '`outcome` is what the operator was told; `begins` false: the zone is used again.',
  ),
  evacuationProgress: define(
    336,
    'evacuation_progress',
    'info',
    'the leader sees how far the evacuation of a zone has come',
    '`primaries` still stand there; `stuck` of them have no ready instance elsewhere, and their requests are refused.',
  ),
  instanceTold: define(
    322,
    'instance_told',
    'info',
    'an instance announced a change of its state',
    '`state` as told; `outcome` whether it is replicated.',
  ),
} as const satisfies Record<string, EventKind>;

/** All events, by number. */
export function allEvents(): readonly EventKind[] {
  return Object.values(Events).sort((left, right) => left.number - right.number);
}
