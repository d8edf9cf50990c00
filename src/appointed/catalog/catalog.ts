/**
 * Replicated state of groups whose primary is appointed by the control plane: the routing document, the
 * instances, the epoch of each group, the registered proxies and the holder of the appointment duty.
 */
import type { StateMachine } from '../../consensus/log_applier.js';
import { whinyoke } from '../../protocol/generated/messages.js';

const { InstanceState } = whinyoke;

/** Instances that are gone are remembered, so that a late heartbeat does not bring them back. */
const MAXIMUM_REMEMBERED_GONE = 500;

/** An immutable instance of the catalog. */
export type InstanceEntry = Readonly<whinyoke.IInstanceEntry>;
/** An immutable epoch of a group. */
export type GroupEntry = Readonly<whinyoke.IGroupEntry>;
/** A registered run of a proxy. */
export type ProxyEntry = Readonly<whinyoke.IProxyEntry>;

/** Hears of a change after it was applied. */
export type CatalogListener = () => void;

/** State machine of the control machines. */
export class Catalog implements StateMachine {
  private currentDocument: whinyoke.IRoutingDocument | undefined;
  private readonly instanceById = new Map<string, InstanceEntry>();
  private readonly groupByName = new Map<string, GroupEntry>();
  /** Groups by name; made anew after a change, since many replies are made between two changes. */
  private sortedGroups: readonly GroupEntry[] | undefined;
  private readonly proxyById = new Map<string, ProxyEntry>();
  /** Operations of each tenant that its leader leaves to a successor; about 20 bytes a tenant that ever ran one. */
  private readonly floorByTenant = new Map<string, number>();
  private currentDuty: whinyoke.IDutyEntry = {};
  private currentVersion = 0;
  private proxyLossIndex = 0;
  private forgottenIndex = 0;
  private readonly listeners = new Set<CatalogListener>();

  /** Log index of the newest change that proxies have to know of: documents, instances, groups. */
  get version(): number {
    return this.currentVersion;
  }

  /** Routing document with the highest version. */
  get document(): whinyoke.IRoutingDocument | undefined {
    return this.currentDocument;
  }

  /** Version of the routing document; 0 when there is none. */
  get documentVersion(): number {
    return this.currentDocument?.version ?? 0;
  }

  /** Holder of the appointment duty. */
  get duty(): Readonly<whinyoke.IDutyEntry> {
    return this.currentDuty;
  }

  /** Log index of the newest entry by which a run of a proxy ended, with what it had acknowledged. */
  get proxyLossVersion(): number {
    return this.proxyLossIndex;
  }

  /** All instances, those that are gone included. */
  get instances(): readonly InstanceEntry[] {
    return [...this.instanceById.values()];
  }

  /** Instances that are not gone. */
  get presentInstances(): readonly InstanceEntry[] {
    return this.instances.filter((instance) => instance.state !== InstanceState.GONE);
  }

  /**
   * Instances that changed after a version, those that are gone included; undefined when some of them were
   * forgotten meanwhile, so that only the whole list tells.
   */
  instancesSince(version: number): readonly InstanceEntry[] | undefined {
    if (version === 0 || version < this.forgottenIndex) return undefined;
    return this.instances.filter((instance) => (instance.version ?? 0) > version);
  }

  /** Whether an instance of a group left after a version; also true when that can't be told any more. */
  hasLostInstanceSince(group: string, version: number): boolean {
    if (version < this.forgottenIndex) return true;
    return this.instances.some((instance) => {
      const isOfGroup = instance.group === group || instance.group === '';
      const isLater = (instance.version ?? 0) > version;
      return isOfGroup && isLater && instance.state === InstanceState.GONE;
    });
  }

  /** Groups whose epoch changed after a version. */
  groupsSince(version: number): readonly GroupEntry[] {
    return this.groups.filter((group) => (group.version ?? 0) > version);
  }

  /** All groups. */
  get groups(): readonly GroupEntry[] {
    return [...this.groupByName.values()];
  }

  /** All groups in the order of their names. */
  get groupsByName(): readonly GroupEntry[] {
    this.sortedGroups ??= this.groups.toSorted((left, right) =>
      compareNames(left.group ?? '', right.group ?? ''),
    );
    return this.sortedGroups;
  }

  /** Registered proxies. */
  get proxies(): readonly ProxyEntry[] {
    return [...this.proxyById.values()];
  }

  /** Instance of that identifier. */
  instance(id: string): InstanceEntry | undefined {
    return this.instanceById.get(id);
  }

  /** Present instances that told the address of another one. */
  othersAt({ id, address }: InstanceEntry): readonly InstanceEntry[] {
    return this.presentInstances.filter((other) => other.address === address && other.id !== id);
  }

  /** Group of that name. */
  group(name: string): GroupEntry | undefined {
    return this.groupByName.get(name);
  }

  /** Proxy of that identifier. */
  proxy(id: string): ProxyEntry | undefined {
    return this.proxyById.get(id);
  }

  /** Operations of a tenant that every leader so far left in its bucket; undefined when none was ever granted. */
  allowanceFloor(tenant: string): number | undefined {
    return this.floorByTenant.get(tenant);
  }

  /** Calls `listener` after each change until the returned function is called. */
  onChange(listener: CatalogListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  apply(index: number, command: Uint8Array): Uint8Array {
    const decoded = whinyoke.CatalogCommand.decode(command);
    const isChanged = this.applyCommand(index, decoded);
    if (isChanged && isForProxies(decoded)) {
      this.currentVersion = index;
      this.notify();
    }
    const result = { changed: isChanged, version: index, token: this.currentDuty.token };
    return whinyoke.CatalogResult.encode(result).finish();
  }

  serialize(): Uint8Array {
    const snapshot: whinyoke.ICatalogSnapshot = {
      document: this.currentDocument,
      instances: this.instances,
      groups: this.groups,
      proxies: this.proxies,
      duty: this.currentDuty,
      version: this.currentVersion,
      proxyLossVersion: this.proxyLossIndex,
      forgottenVersion: this.forgottenIndex,
      floors: [...this.floorByTenant].map(([tenant, operations]) => ({ tenant, operations })),
    } as whinyoke.ICatalogSnapshot;
    return whinyoke.CatalogSnapshot.encode(snapshot).finish();
  }

  restore(_lastIndex: number, state: Uint8Array): void {
    const snapshot = whinyoke.CatalogSnapshot.decode(state);
    this.currentDocument = snapshot.document ?? undefined;
    this.currentDuty = snapshot.duty ?? {};
    this.currentVersion = snapshot.version;
    this.proxyLossIndex = snapshot.proxyLossVersion;
    this.forgottenIndex = snapshot.forgottenVersion;
    this.instanceById.clear();
    for (const item of snapshot.instances) this.instanceById.set(item.id ?? '', item);
    this.groupByName.clear();
    this.sortedGroups = undefined;
    for (const item of snapshot.groups) this.groupByName.set(item.group ?? '', item);
    this.proxyById.clear();
    for (const item of snapshot.proxies) this.proxyById.set(item.id ?? '', item);
    this.floorByTenant.clear();
    this.putFloors(snapshot.floors);
    this.notify();
  }

  /** Applies a command; returns whether anything changed. */
  private applyCommand(index: number, command: whinyoke.CatalogCommand): boolean {
    switch (command.kind) {
      case 'putDocument':
        return this.putDocument(command.putDocument!);
      case 'putInstance':
        return this.putInstance(index, command.putInstance!);
      case 'putGroup':
        return this.putGroup(index, command.putGroup!);
      case 'setTarget':
        return this.setTarget(command.setTarget!);
      case 'putProxy':
        return this.putProxies(index, [command.putProxy!]);
      case 'putProxies':
        return this.putProxies(index, command.putProxies!.proxies ?? []);
      case 'removeProxy':
        this.proxyLossIndex = index;
        return this.proxyById.delete(command.removeProxy!);
      case 'putFloors':
        return this.putFloors(command.putFloors!.floors ?? []);
      case 'takeDuty':
        return this.takeDuty(command.takeDuty!);
      default:
        return false;
    }
  }

  /** The highest version holds; anything else changes nothing. */
  private putDocument(document: whinyoke.IRoutingDocument): boolean {
    if ((document.version ?? 0) <= this.documentVersion) return false;
    this.currentDocument = document;
    return true;
  }

  private putProxies(index: number, proxies: readonly whinyoke.IProxyEntry[]): boolean {
    for (const proxy of proxies) {
      if (this.proxyById.has(proxy.id ?? '')) this.proxyLossIndex = index;
      this.proxyById.set(proxy.id ?? '', { ...proxy, version: index });
    }
    return proxies.length > 0;
  }

  private putFloors(floors: readonly whinyoke.IAllowanceFloor[]): boolean {
    for (const { tenant, operations } of floors) {
      this.floorByTenant.set(tenant ?? '', operations ?? 0);
    }
    return floors.length > 0;
  }

  private putInstance(index: number, instance: whinyoke.IInstanceEntry): boolean {
    const known = this.instanceById.get(instance.id ?? '');
    const isLate = (instance.sequence ?? 0) < (known?.sequence ?? 0);
    if (isLate || known?.state === InstanceState.GONE) return false;
    // Fields with default values are kept by the message's prototype only.
    const entry = whinyoke.InstanceEntry.create({ ...instance, version: index });
    this.instanceById.set(instance.id ?? '', entry);
    this.forgetOldest();
    return true;
  }

  private forgetOldest(): void {
    const gone = this.instances.filter((instance) => instance.state === InstanceState.GONE);
    const excess = gone.slice(0, Math.max(0, gone.length - MAXIMUM_REMEMBERED_GONE));
    for (const instance of excess) {
      this.forgottenIndex = Math.max(this.forgottenIndex, instance.version ?? 0);
      this.instanceById.delete(instance.id ?? '');
    }
  }

  private putGroup(index: number, group: whinyoke.IGroupEntry): boolean {
    const present = this.groupByName.get(group.group ?? '');
    if (group.epoch !== (present?.epoch ?? 0) + 1) return false;
    const isSteady = group.phase !== whinyoke.GroupPhase.CHANGING;
    const steadySince = isSteady ? index : present?.steadySince;
    this.setGroup({ ...group, version: index, steadySince });
    return true;
  }

  private setGroup(group: GroupEntry): void {
    this.groupByName.set(group.group ?? '', group);
    this.sortedGroups = undefined;
  }

  private setTarget(choice: whinyoke.IGroupEntry): boolean {
    const present = this.groupByName.get(choice.group ?? '');
    if (!present || present.epoch !== choice.epoch) return false;
    this.setGroup({ ...present, target: choice.target });
    return true;
  }

  private takeDuty(duty: whinyoke.IDutyEntry): boolean {
    if (duty.holder === this.currentDuty.holder) return false;
    this.currentDuty = { ...duty, token: (this.currentDuty.token ?? 0) + 1 };
    return true;
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

/** Order of names by their code units, the same in every process. */
export function compareNames(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Whether proxies have to know of a command; registrations of proxies and the duty concern control only. */
function isForProxies(command: whinyoke.CatalogCommand): boolean {
  return ['putDocument', 'putInstance', 'putGroup'].includes(command.kind ?? '');
}
