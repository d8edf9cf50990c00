/** Numbered events of the daemons. Numbers are never reused; docs/EVENTS.md is made from this table. */

/** Severity of an event. */
export type EventLevel = 'info' | 'warn' | 'error';

/** One kind of event. */
export interface EventKind {
  readonly number: number;
  readonly name: string;
  readonly level: EventLevel;
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
} as const satisfies Record<string, EventKind>;

/** All events, by number. */
export function allEvents(): readonly EventKind[] {
  return Object.values(Events).sort((left, right) => left.number - right.number);
}
