/** Protections of the router that the simulation can take away, to show that its checks can fail. */
import type {
  InstanceAnswer,
  InstanceConnection,
  InstanceConnector,
  InstanceTarget,
  OpenedConnection,
} from '../../src/appointed/instance/instance_connection.js';
import {
  MAX_REPLICA_LEASE_SILENCE_MS,
  REPLICA_LEASE_MS,
} from '../../src/appointed/leases/replica_lease.js';
import type { AppointedControl } from '../../src/appointed/control/appointed_control.js';
import type { AppointedProxy } from '../../src/appointed/proxy/appointed_proxy.js';
import type { StoppingProxy } from '../../src/appointed/proxy/graceful_stop.js';
import { ShutdownDeadline } from '../../src/appointed/routing/shutdown_deadline.js';
import { inheritedPositionOf } from '../../src/appointed/failover/inherited_position.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { START } from '../../src/positions/position.js';
import type { InstanceCommand } from '../../src/appointed/instance/statement.js';

/** Protections that can be taken away. */
export const APPOINTED_PROTECTIONS = [
  'read-position',
  'session-values',
  'lease',
  'replica-witness',
  'tenant-binding',
  'credential-freshness',
  'fleet-quota',
  'instance-lives',
  'homes',
  'evacuated-zones',
  'slow-start',
  'issuer-lease',
  'departures',
  'commit-watermarks',
  'appointment-permits',
  'pending-appointments',
  'shutdown-deadline',
  'announced-close',
  'answer-matching',
  'answer-confirmation',
  'values-first',
  'prepared-names',
] as const;

/** One protection. */
export type AppointedProtection = (typeof APPOINTED_PROTECTIONS)[number];

/** Command as a router without the protection would send it; undefined where it would send none. */
function weaken(
  command: InstanceCommand,
  disabled: ReadonlySet<AppointedProtection>,
): InstanceCommand | undefined {
  if (command.kind === 'set' && disabled.has('session-values')) return undefined;
  const hasPosition = command.kind === 'data' || command.kind === 'begin';
  if (hasPosition && disabled.has('read-position')) return { ...command, after: undefined };
  return command;
}

/** Connector that weakens every command. */
export class WeakenedConnector implements InstanceConnector {
  constructor(
    private readonly connector: InstanceConnector,
    private readonly disabled: ReadonlySet<AppointedProtection>,
  ) {}

  async connect(
    target: InstanceTarget,
    timeoutMs: number,
    tenant?: string,
  ): Promise<OpenedConnection> {
    const named = this.disabled.has('tenant-binding') ? 't1' : tenant;
    const opened = await this.connector.connect(target, timeoutMs, named);
    const { connection } = opened;
    const run: InstanceConnection['run'] = (command, limitMs) => {
      const weakened = weaken(command, this.disabled);
      if (isLoadingValues(command) && this.disabled.has('values-first')) {
        return runWithoutWaiting(connection, command, limitMs);
      }
      if (weakened) return connection.run(weakened, limitMs);
      return Promise.resolve({ rows: [], signature: '-', state: 'idle' });
    };
    return { ...opened, connection: new Proxy(connection, { get: getter(run), set: setter }) };
  }
}

function isLoadingValues({ kind }: InstanceCommand): boolean {
  return kind === 'set' || kind === 'reset';
}

/** Lets the next command be sent before this one is answered; closes the connection if it is refused. */
function runWithoutWaiting(
  connection: InstanceConnection,
  command: InstanceCommand,
  limitMs: number,
): Promise<InstanceAnswer> {
  const closeIfRefused = ({ error }: InstanceAnswer): void => {
    if (error) connection.close();
  };
  // A lost connection ends the next command too.
  void connection.run(command, limitMs).then(closeIfRefused, () => undefined);
  return Promise.resolve({ rows: [], signature: '-', state: 'idle' });
}

function getter(run: InstanceConnection['run']): ProxyHandler<InstanceConnection>['get'] {
  return (target, property) => {
    if (property === 'run') return run;
    const value: unknown = Reflect.get(target, property, target);
    return typeof value === 'function' ? (value.bind(target) as unknown) : value;
  };
}

function setter(target: InstanceConnection, property: string | symbol, value: unknown): boolean {
  return Reflect.set(target, property, value, target);
}

/** Makes a proxy trust the newest primary that it knows, whatever its lease says. */
export function disableLease(core: AppointedProxy): void {
  const { leases } = core;
  leases.accepts = () => true;
  leases.primaryOf = (group) => {
    const entry = leases.entryOf(group);
    if (!entry) return undefined;
    return { epoch: entry.epoch ?? 0, instance: entry.primary ?? '', term: entry.term ?? 0 };
  };
}

/** Makes control take all incarnations of an instance for the same one. */
export function disableIncarnations(core: AppointedControl): void {
  const submit = core.submit.bind(core);
  core.submit = (request) => {
    const { beat } = request;
    if (!beat) return submit(request);
    return submit({ beat: { ...beat, instance: { ...beat.instance, born: 0 } } });
  };
}

/** Makes control take a deregistered instance for one that has ended before. */
export function disableDepartures({ catalog }: AppointedControl): void {
  Object.defineProperty(catalog, 'departingInstances', { get: () => [] });
}

/** Makes control take what proxies and replicas report as complete, whatever was lost. */
export function disableCommitWatermarks({ watermarks }: AppointedControl): void {
  watermarks.of = (entry) => inheritedPositionOf(entry) ?? START;
}

/** Makes every call to the platform permitted at any moment. */
export function disablePermits({ permits }: AppointedControl): void {
  permits.mayCall = () => true;
  permits.grant = () => true;
}

/** Makes calls that may still take effect bind a group to no instance. */
export function disablePendingAppointments({ catalog }: AppointedControl): void {
  const pendingAppointment = catalog.pendingAppointment.bind(catalog);
  catalog.pendingAppointment = (group) => {
    const call = pendingAppointment(group);
    return call && { ...call, instance: undefined };
  };
  const apply = catalog.apply.bind(catalog);
  catalog.apply = (index, bytes) => {
    const { beginAppointmentCall, putGroup } = whinyoke.CatalogCommand.decode(bytes);
    const group = beginAppointmentCall?.group ?? putGroup?.group ?? '';
    const { instance, calls } = pendingAppointment(group) ?? {};
    // Calls for another instance, and another primary, would be refused while there is a record.
    const next = beginAppointmentCall?.instance ?? putGroup?.primary;
    if (instance !== next) {
      const endAppointmentCalls = { group, calls };
      apply(index, whinyoke.CatalogCommand.encode({ endAppointmentCalls }).finish());
    }
    return apply(index, bytes);
  };
}

/** Makes a proxy trust a primary that has started again until control tells of it. */
export function disableEmptyPrimaryCheck({ leases }: AppointedProxy): void {
  leases.distrust = () => false;
}

/** Makes a proxy go on sending to zones that are evacuated. */
export function disableEvacuatedZones(core: AppointedProxy): void {
  core.evacuatedZones.applyUpdate = () => undefined;
}

/** Makes a proxy run every operation of a tenant, whatever its limit. */
export function disableQuota(core: AppointedProxy): void {
  core.allowances.acquire = () => ({ isGranted: true });
}

/** Makes a proxy send to cold instances as to warm ones. */
export function disableSlowStart({ slowStarts }: AppointedProxy): void {
  slowStarts.routeTo = () => undefined;
  slowStarts.reserve = () => () => undefined;
  slowStarts.admit = () => true;
}

/** Makes an issuer use its reserves and leased rates on after their end. */
export function disableIssuerLease(core: AppointedProxy): void {
  core.allowances.allowances.lease = { expiresAt: () => Infinity };
}

/** Makes a proxy extend its leases while control is out of reach without asking the replicas. */
export function disableReplicaLeases(core: AppointedProxy): void {
  const { leases, clock } = core;
  core.leaseConfirmer.maintain = (silenceMs) => {
    if (silenceMs > MAX_REPLICA_LEASE_SILENCE_MS) return;
    for (const group of leases.leasedGroups()) {
      leases.extend(group, leases.entryOf(group)?.epoch ?? 0, clock.now() + REPLICA_LEASE_MS);
    }
  };
}

/** Makes requests know nothing of the end of a shutdown, which then closes all connections at once, busy or not. */
export function withoutShutdownDeadline(proxy: StoppingProxy): StoppingProxy {
  const { clock, connections } = proxy;
  Object.defineProperty(connections, 'unansweredCount', { value: 0 });
  connections.answerNow = () => undefined;
  connections.leave = () => connections.abort('the shutdown has ended');
  const shutdown = new ShutdownDeadline(clock);
  return { ...proxy, shutdown, closeInstances: () => undefined };
}
