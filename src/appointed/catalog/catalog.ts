/**
 * Replicated state of groups whose primary is appointed by the control plane: the routing document,
 * the instances, the epoch of each group, the evacuated zones, the registered proxies and the
 * holder of the appointment lease. Only committed commands change it, so it is the same on every
 * control machine.
 */
import type { StateMachine } from '../../consensus/log_applier.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import { type EvacuationEntry, EvacuationTable } from './evacuation_table.js';
import { type GroupEntry, GroupTable } from './group_table.js';
import { type InstanceEntry, InstanceTable } from './instance_table.js';
import { type PendingAppointment, PendingAppointmentTable } from './pending_appointment_table.js';
import { type ProxyEntry, ProxyTable } from './proxy_table.js';

export { type GroupEntry, compareNames } from './group_table.js';
export type { InstanceEntry } from './instance_table.js';
export type { ProxyEntry } from './proxy_table.js';

/** Called after a change was applied. */
export type CatalogListener = () => void;

export class Catalog implements StateMachine {
  private currentDocument: whinyoke.IRoutingDocument | undefined;
  private readonly instanceTable = new InstanceTable();
  private readonly groupTable = new GroupTable();
  private readonly evacuationTable = new EvacuationTable();
  private readonly proxyTable = new ProxyTable();
  private readonly pendingAppointmentTable = new PendingAppointmentTable();
  /**
   * Operations in each tenant's bucket that a leader must leave to its successor. Takes about 20
   * bytes per tenant that ever ran an operation.
   */
  private readonly successorReserveByTenant = new Map<string, number>();
  private currentLease: whinyoke.IDutyEntry = {};
  private currentVersion = 0;
  private readonly listeners = new Set<CatalogListener>();

  /**
   * Log index of the newest change that is sent to proxies: documents, instances, groups, evacuated
   * zones.
   */
  get version(): number {
    return this.currentVersion;
  }

  /** Routing document with the highest version. */
  get document(): whinyoke.IRoutingDocument | undefined {
    return this.currentDocument;
  }

  /** Version of the routing document; 0 if there is none. */
  get documentVersion(): number {
    return this.currentDocument?.version ?? 0;
  }

  /** Holder and fencing token of the appointment lease. Stored data calls it duty. */
  get appointmentLeaseEntry(): Readonly<whinyoke.IDutyEntry> {
    return this.currentLease;
  }

  /**
   * Log index of the newest entry that ended an incarnation of a proxy, whose record of
   * acknowledged commits is lost with it.
   */
  get proxyLossVersion(): number {
    return this.proxyTable.lossVersion;
  }

  /** All instances, including those that are gone. */
  get instances(): readonly InstanceEntry[] {
    return this.instanceTable.all;
  }

  /** Instances that are not gone. */
  get presentInstances(): readonly InstanceEntry[] {
    return this.instanceTable.present;
  }

  /**
   * Instances that changed after a version, including those that are gone. Undefined if entries
   * were forgotten since that version, so that a proxy needs the whole list.
   */
  instancesSince(version: number): readonly InstanceEntry[] | undefined {
    return this.instanceTable.since(version);
  }

  /** Instances that have deregistered and may still receive commits of their group. */
  get departingInstances(): readonly InstanceEntry[] {
    return this.instanceTable.departing;
  }

  /** Log index at which a group last lost the log of an instance; 0 if it never did. */
  replicaLossVersion(group: string): number {
    return this.instanceTable.replicaLossVersion(group);
  }

  /** Log index at which any group last lost the log of an instance; 0 if none did. */
  get newestReplicaLoss(): number {
    return this.instanceTable.newestReplicaLoss;
  }

  /** Log index at which the current incarnation of an instance began; 0 for its first one. */
  incarnationStartIndex(id: string): number {
    return this.instanceTable.incarnationStartIndex(id);
  }

  /**
   * Log index since which the catalog lists an instance with its current state, group and address;
   * may be later than that after a snapshot was restored.
   */
  placedSince(id: string): number {
    return this.instanceTable.placedSince(id);
  }

  /** Groups whose epoch changed after a version. */
  groupsSince(version: number): readonly GroupEntry[] {
    return this.groupTable.since(version);
  }

  get groups(): readonly GroupEntry[] {
    return this.groupTable.all;
  }

  /** All groups, sorted by name. */
  get groupsByName(): readonly GroupEntry[] {
    return this.groupTable.byName;
  }

  /** Newest evacuation order for each zone that was ever evacuated. */
  get evacuations(): readonly EvacuationEntry[] {
    return this.evacuationTable.all;
  }

  get evacuatedZones(): readonly string[] {
    return this.evacuationTable.evacuatedZones;
  }

  isEvacuated(zone: string): boolean {
    return this.evacuationTable.isEvacuated(zone);
  }

  /** Evacuation orders that took effect after a version. */
  evacuationsSince(version: number): readonly EvacuationEntry[] {
    return this.evacuationTable.since(version);
  }

  get proxies(): readonly ProxyEntry[] {
    return this.proxyTable.all;
  }

  /** Calls to the platform that may still take effect, one entry for each group that has any. */
  get pendingAppointments(): readonly PendingAppointment[] {
    return this.pendingAppointmentTable.all;
  }

  /** Calls to the platform that may still make an instance of a group its primary. */
  pendingAppointment(group: string): PendingAppointment | undefined {
    return this.pendingAppointmentTable.of(group);
  }

  instance(id: string): InstanceEntry | undefined {
    return this.instanceTable.get(id);
  }

  /** Other present instances at the address of an instance. */
  otherInstancesAt({ id, address }: InstanceEntry): readonly InstanceEntry[] {
    return this.presentInstances.filter((other) => other.address === address && other.id !== id);
  }

  group(name: string): GroupEntry | undefined {
    return this.groupTable.get(name);
  }

  proxy(id: string): ProxyEntry | undefined {
    return this.proxyTable.get(id);
  }

  /**
   * Operations of a tenant that every leader so far left in its bucket; undefined if none were ever
   * granted.
   */
  successorReserveOf(tenant: string): number | undefined {
    return this.successorReserveByTenant.get(tenant);
  }

  /** Calls `listener` after each change until the returned function is called. */
  onChange(listener: CatalogListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies a committed command; the result says whether anything changed. */
  apply(index: number, command: Uint8Array): Uint8Array {
    const decoded = whinyoke.CatalogCommand.decode(command);
    const isChanged = this.applyCommand(index, decoded);
    if (isChanged && affectsProxies(decoded)) {
      this.currentVersion = index;
      this.notify();
    }
    const result = { changed: isChanged, version: index, token: this.currentLease.token };
    return whinyoke.CatalogResult.encode(result).finish();
  }

  /** Serializes the whole state for a snapshot. */
  serialize(): Uint8Array {
    const snapshot: whinyoke.ICatalogSnapshot = {
      document: this.currentDocument,
      instances: this.instances,
      groups: this.groups,
      proxies: this.proxies,
      duty: this.currentLease,
      version: this.currentVersion,
      proxyLossVersion: this.proxyLossVersion,
      formerProxies: this.proxyTable.former,
      forgottenVersion: this.instanceTable.forgottenVersion,
      floors: [...this.successorReserveByTenant].map(([tenant, operations]) => ({
        tenant,
        operations,
      })),
      incarnations: this.instanceTable.incarnations,
      replicaLosses: this.instanceTable.replicaLosses,
      evacuations: this.evacuations,
      pendingAppointments: this.pendingAppointments,
    } as whinyoke.ICatalogSnapshot;
    return whinyoke.CatalogSnapshot.encode(snapshot).finish();
  }

  /** Replaces the state by that of a snapshot. */
  restore(_lastIndex: number, state: Uint8Array): void {
    const snapshot = whinyoke.CatalogSnapshot.decode(state);
    this.currentDocument = snapshot.document ?? undefined;
    this.currentLease = snapshot.duty ?? {};
    this.currentVersion = snapshot.version;
    this.instanceTable.restore(snapshot);
    this.groupTable.restore(snapshot.groups);
    this.evacuationTable.restore(snapshot.evacuations);
    this.proxyTable.restore(snapshot);
    this.pendingAppointmentTable.restore(snapshot.pendingAppointments);
    this.successorReserveByTenant.clear();
    this.putSuccessorReserves(snapshot.floors);
    this.notify();
  }

  /** Applies a command; returns whether anything changed. */
  private applyCommand(index: number, command: whinyoke.CatalogCommand): boolean {
    switch (command.kind) {
      case 'putDocument':
        return this.putDocument(command.putDocument!);
      case 'putInstance':
        return this.instanceTable.put(index, command.putInstance!);
      case 'putGroup':
        return this.putGroup(index, command.putGroup!);
      case 'setTarget':
        return this.groupTable.setTarget(command.setTarget!);
      case 'putProxy':
        return this.proxyTable.put(index, [command.putProxy!]);
      case 'putProxies':
        return this.proxyTable.put(index, command.putProxies!.proxies ?? []);
      case 'removeProxy':
        return this.proxyTable.remove(index, command.removeProxy!);
      case 'putFloors':
        return this.putSuccessorReserves(command.putFloors!.floors ?? []);
      case 'putEvacuation':
        return this.putEvacuation(index, command.putEvacuation!);
      case 'endInstance':
        return this.instanceTable.end(index, command.endInstance!);
      case 'setSlowStartHolder':
        return this.instanceTable.setHolder(index, command.setSlowStartHolder!);
      case 'takeDuty':
        return this.takeLease(command.takeDuty!);
      case 'beginAppointmentCall':
        return this.beginAppointmentCall(command.beginAppointmentCall!);
      case 'endAppointmentCalls':
        return this.pendingAppointmentTable.end(command.endAppointmentCalls!);
      default:
        return false;
    }
  }

  /** Only a document with a higher version replaces the current one. */
  private putDocument(document: whinyoke.IRoutingDocument): boolean {
    if ((document.version ?? 0) <= this.documentVersion) return false;
    this.currentDocument = document;
    return true;
  }

  private putSuccessorReserves(floors: readonly whinyoke.IAllowanceFloor[]): boolean {
    for (const { tenant, operations } of floors) {
      this.successorReserveByTenant.set(tenant ?? '', operations ?? 0);
    }
    return floors.length > 0;
  }

  /**
   * When an evacuation is finished, the instances of the zone are used again; they are cold from
   * entry `index` on.
   */
  private putEvacuation(index: number, order: whinyoke.IEvacuationOrder): boolean {
    const change = this.evacuationTable.put(index, order);
    if (change === 'finished') this.instanceTable.markZoneCold(order.zone ?? '', index);
    return change !== 'none';
  }

  /** No other instance becomes primary while a call may still appoint one. */
  private putGroup(index: number, entry: whinyoke.IGroupEntry): boolean {
    const { group, primary } = entry;
    if (entry.phase === whinyoke.GroupPhase.CHANGING) return this.groupTable.put(index, entry);
    const pending = this.pendingAppointmentTable.of(group ?? '');
    if (pending && pending.instance !== primary) return false;
    if (!this.groupTable.put(index, entry)) return false;
    this.pendingAppointmentTable.recordPrimary(group ?? '');
    return true;
  }

  /** Only the target of a group's change is called for, by the present holder of the lease. */
  private beginAppointmentCall(call: whinyoke.IAppointmentCall): boolean {
    const { phase, target } = this.groupTable.get(call.group ?? '') ?? {};
    if (phase !== whinyoke.GroupPhase.CHANGING || target !== call.instance) return false;
    if (call.token !== this.currentLease.token) return false;
    return this.pendingAppointmentTable.begin(call);
  }

  private takeLease(next: whinyoke.IDutyEntry): boolean {
    if (next.holder === this.currentLease.holder) return false;
    this.currentLease = { ...next, token: (this.currentLease.token ?? 0) + 1 };
    return true;
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

/** Kinds of commands whose effects are sent to proxies. */
const PROXY_VISIBLE_COMMANDS: ReadonlySet<string> = new Set<
  NonNullable<whinyoke.CatalogCommand['kind']>
>(['putDocument', 'putInstance', 'putGroup', 'putEvacuation', 'setSlowStartHolder']);

/**
 * Whether a command changes something that proxies use. Proxy registrations and the appointment
 * lease concern control only.
 */
function affectsProxies(command: whinyoke.CatalogCommand): boolean {
  return PROXY_VISIBLE_COMMANDS.has(command.kind ?? '');
}
