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
