/**
 * Synchronisation with control: builds the content of the proxy's requests, and applies replies to the parts of the proxy.
 * Leases and shared positions are applied only if the reply has the catalog version in force, because a reply that was
 * overtaken may grant leases on epochs that have ended.
 */
import { Events } from '../../observability/events.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { SlowStartGate } from '../placement/slow_start_gate.js';
import type { IssuerSelector } from '../tenancy/issuer_selector.js';
import type { PrimaryHealthTrackers } from '../trust/primary_health_trackers.js';
import type { PrimaryLeases } from '../trust/primary_leases.js';
import { ControlClient } from './control_client.js';
import type { EvacuatedZones } from '../placement/evacuated_zones.js';
import type { ControlContact } from './control_contact.js';
import type { DocumentInForce } from './document_in_force.js';
import type { FleetDirectory } from './fleet_directory.js';
import type { PrimaryPositions } from './primary_positions.js';
import type { ProxyInstances } from './proxy_instances.js';
import type { SyncContent, SyncParticipant } from './sync_participant.js';

const NO_BYTES = new Uint8Array(0);

/** Parts of the proxy that provide the content of requests and that replies are applied to. */
interface ControlSynchronisationDependencies {
  readonly self: whinyoke.IProxyEntry;
  readonly log: DecisionLog;
  readonly contact: ControlContact;
  readonly document: DocumentInForce;
  readonly fleet: FleetDirectory;
  readonly leases: PrimaryLeases;
  readonly primaryHealth: PrimaryHealthTrackers;
  readonly positions: PrimaryPositions;
  readonly instances: ProxyInstances;
  readonly evacuatedZones: EvacuatedZones;
  readonly slowStarts: SlowStartGate;
  readonly issuers: IssuerSelector;
}

export class ControlSynchronisation implements SyncParticipant {
  private readonly client: ControlClient;
  private catalogVersion = 0;
  private hasStartedLeaving = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly dependencies: ControlSynchronisationDependencies,
    /** Initial addresses of control machines. */
    seeds: readonly string[],
  ) {
    this.client = new ControlClient(runtime, this, seeds);
  }

  start(): void {
    this.client.start();
  }

  stop(): void {
    this.client.stop();
  }

  /** Sends all updates immediately. */
  syncNow(): Promise<void> {
    return this.client.syncNow();
  }

  /** Updates the addresses of control machines after a change of settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.client.updateSeeds(seeds);
  }

  /** Reports to control that this proxy accepts no new callers. */
  startLeaving(): void {
    this.hasStartedLeaving = true;
    void this.client.syncNow();
  }

  /** Sends changed health reports and due revocations immediately. Called periodically. */
  sendUpdates(now: number): void {
    if (this.dependencies.primaryHealth.hasUpdates(now)) void this.client.syncNow();
    if (this.dependencies.leases.hasDueRevocation(now)) void this.client.syncNow();
  }

  /** Logs the loss of control if a document is in force. */
  logIfControlLost(): void {
    if (this.dependencies.document.table === undefined) return;
    this.dependencies.contact.logIfLost(this.client.leaderAddress, this.client.failedRequests);
  }

  /** Last known address of the leader; empty if unknown. */
  get leaderAddress(): string {
    return this.client.leaderAddress;
  }

  /** Identity of this proxy process. */
  get self(): whinyoke.IProxyEntry {
    return this.dependencies.self;
  }

  /** Whether this proxy is shutting down and accepts no new callers. */
  get isLeaving(): boolean {
    return this.hasStartedLeaving;
  }

  /** Log index of the newest catalog in force; 0 before the first. */
  get knownVersion(): number {
    return this.catalogVersion;
  }

  /** Addresses of proxies that forward requests to the leader. */
  get forwarders(): readonly string[] {
    return this.dependencies.fleet.forwarders;
  }

  /** Content of a request that is sent now. Ends the leases whose revocation is due, so that it can confirm them. */
  syncContent(): SyncContent {
    const { leases, primaryHealth, positions, document, fleet, instances } = this.dependencies;
    const now = this.runtime.clock.now();
    for (const group of leases.endRevokedEpochs(now)) instances.abandonPrimary(group);
    const revocations = leases.confirmations().map(({ group, epoch, position }) => ({
      group,
      epoch,
      hasPosition: position !== undefined,
      position,
    }));
    return {
      knownDocument: document.version,
      knownDirectory: fleet.version,
      revocations,
      reports: primaryHealth.takeReports(now),
      wantsPositions: positions.needsSharedPositions(now),
      clockTerm: positions.clockTerm,
      positions: positions.takeReports(now),
    };
  }

  /** Applies the reply to a request that was sent at `sentAt`. */
  onSync(reply: whinyoke.ISyncReply, content: SyncContent, sentAt: number): void {
    const { contact, document, leases, positions, slowStarts } = this.dependencies;
    const now = this.runtime.clock.now();
    contact.recordReply(now);
    for (const { group, epoch } of content.revocations)
      leases.recordConfirmed(group ?? '', epoch ?? 0);
    positions.recordLeaderClock(reply, now);
    if (reply.directory) this.adoptDirectory(reply.directory);
    const version = reply.version ?? 0;
    const update = whinyoke.CatalogUpdate.decode(reply.update ?? NO_BYTES);
    if (update.document) document.adopt(update.document);
    const previouslyConfirmedAt = contact.confirmedAt;
    contact.recordConfirmation(sentAt);
    leases.update(update.groups, now);
    if (version > this.catalogVersion) this.adoptCatalog(version, update, previouslyConfirmedAt);
    // A reply that was overtaken may grant leases on epochs that have ended.
    if (version === this.catalogVersion) {
      leases.extendAll(sentAt + (reply.leaseMs ?? 0));
      slowStarts.extendLease(sentAt + (reply.slowStartLeaseMs ?? 0));
      positions.adopt(reply, sentAt);
    }
    if (leases.hasDueRevocation(now)) void this.client.syncNow();
  }

  /** Logs a failed request to a control machine or through another proxy. */
  onControlFailure(address: string, reason: string): void {
    this.dependencies.log(Events.controlRequestFailed, { address, reason });
  }

  private adoptDirectory(directory: whinyoke.IProxyDirectory): void {
    const { fleet, instances, issuers } = this.dependencies;
    fleet.adopt(directory);
    instances.adoptOwners(fleet.zones);
    issuers.update(fleet.zones);
  }

  private adoptCatalog(
    version: number,
    update: whinyoke.CatalogUpdate,
    previouslyConfirmedAt: number,
  ): void {
    const { positions, instances, fleet, log, evacuatedZones } = this.dependencies;
    if (this.catalogVersion === 0) positions.expectFirst();
    this.catalogVersion = version;
    evacuatedZones.applyUpdate(update, previouslyConfirmedAt);
    instances.adopt(update);
    log(Events.catalogInForce, {
      version,
      instances: instances.count,
      proxies: fleet.liveProxies,
    });
  }
}
