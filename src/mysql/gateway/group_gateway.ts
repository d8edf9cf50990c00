/**
 * Everything a proxy needs to serve one database group itself: monitoring, connections, slots, and the
 * two ways to be sure of a position (commit evidence and read barrier).
 */
import type { BackendConnection, BackendConnector } from '../backend/backend.js';
import type { GroupConfiguration } from '../configuration/configuration.js';
import {
  DEFAULT_BACKEND_POOL_OPTIONS,
  BackendPool,
  type BackendPoolOptions,
} from '../pool/backend_pool.js';
import { SeatKeeper } from '../pool/seat_keeper.js';
import type { InstanceLimits } from '../pool/shares.js';
import { SessionTerminator } from '../pool/session_terminator.js';
import { SlotQueue } from '../pool/slot_queue.js';
import { RetryBudget } from '../routing/retry_budget.js';
import type { Clock, RandomSource } from '../../runtime/runtime.js';
import { BackendConnectionLostError } from '../../errors/errors.js';
import {
  DEFAULT_EVIDENCE_OPTIONS,
  type EvidenceOptions,
  type EvidenceOutcome,
  type EvidenceTarget,
  findCommitEvidence,
} from '../session/commit_evidence.js';
import type { Position } from '../../positions/position.js';
import { quorumBarrier } from '../session/read_barrier.js';
import {
  type GroupDescription,
  type InstanceDescription,
  findInstance,
  hasFreshReport,
  readableSecondaries,
  takesWork,
} from '../topology/group_description.js';
import {
  DEFAULT_MONITOR_OPTIONS,
  GroupMonitor,
  type MonitorOptions,
} from '../topology/group_monitor.js';
import { ProtectionSet } from './protections.js';

/** Timing and limits that are the same for all groups. */
export interface GatewayOptions {
  readonly monitor: MonitorOptions;
  readonly evidence: EvidenceOptions;
  readonly pool: BackendPoolOptions;
  /** Longest time for one statement on an instance, in milliseconds. */
  readonly statementTimeoutMs: number;
  /** Longest wait for a slot or a connection, in milliseconds. */
  readonly queueTimeoutMs: number;
  /** Longest wait for the answers of a read barrier, in milliseconds. */
  readonly barrierTimeoutMs: number;
  /** Time that open transactions keep on an instance that is leaving, in milliseconds. */
  readonly drainMs: number;
  readonly protections: ProtectionSet;
}

/** Defaults. */
export const DEFAULT_GATEWAY_OPTIONS: GatewayOptions = {
  monitor: DEFAULT_MONITOR_OPTIONS,
  evidence: DEFAULT_EVIDENCE_OPTIONS,
  pool: DEFAULT_BACKEND_POOL_OPTIONS,
  statementTimeoutMs: 10_000,
  queueTimeoutMs: 2000,
  barrierTimeoutMs: 300,
  drainMs: 2500,
  protections: ProtectionSet.all,
};

/** Slots of a primary that are kept for transactions under way. */
const RESERVED_SLOTS = 1;

/** Connections opened ahead to each secondary when the primary is lost. */
const WARM_CONNECTIONS = 4;

/** How long sessions under way keep a gateway from giving up its seats, in milliseconds. */
const GIVE_UP_LIMIT_MS = 10_000;
const GIVE_UP_POLL_MS = 20;

/** What a gateway needs of its process. */
export interface GatewayRuntime {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly connector: BackendConnector;
}

/** Connections and slots of one instance. */
export interface InstanceResources {
  readonly address: string;
  readonly pool: BackendPool;
  readonly slots: SlotQueue;
  readonly seats: SeatKeeper;
  readonly terminator: SessionTerminator;
}

/** Counters of one gateway, for metrics and benchmarks. */
export interface GatewayCounters {
  replicaReads: number;
  primaryReads: number;
  barriers: number;
  commitsConfirmed: number;
  commitsUnconfirmed: number;
  retries: number;
  refused: number;
}

/** Gateway of one group. */
export class GroupGateway {
  readonly monitor: GroupMonitor;
  readonly counters: GatewayCounters = {
    replicaReads: 0,
    primaryReads: 0,
    barriers: 0,
    commitsConfirmed: 0,
    commitsUnconfirmed: 0,
    retries: 0,
    refused: 0,
  };
  readonly retryBudget = new RetryBudget();
  private readonly resources: ReadonlyMap<string, InstanceResources>;
  private platformLeaving: ReadonlySet<string> = new Set();
  private waitingForPrimary = 0;
  /** Latest known primary, also while there is none. */
  private lastPrimary: string | undefined;
  private wantsSeats = false;
  private readonly busySessions = new Set<object>();
  /** Ends the waits of {@link waitUntil}. */
  private readonly waits = new Set<() => void>();
  private hasEnded = false;

  constructor(
    private currentConfiguration: GroupConfiguration,
    readonly runtime: GatewayRuntime,
    readonly options: GatewayOptions,
  ) {
    const configuration = this.currentConfiguration;
    const limits: InstanceLimits = {
      slots: configuration.limits.slots,
      connections: configuration.limits.connections,
      monitoringConnections: configuration.limits.monitoring_connections,
      gateways: configuration.limits.gateways,
    };
    this.resources = new Map(
      configuration.instances.map(({ address }) => [
        address,
        this.createResources(address, limits),
      ]),
    );
    this.monitor = new GroupMonitor(
      configuration,
      runtime.clock,
      runtime.connector,
      { ...options.monitor, honoursLeaving: options.protections.isOn('drain') },
      {
        onChange: (next, previous) => this.onTopologyChange(next, previous),
        onConnected: (address, connection) => this.onMonitorConnected(address, connection),
        onDisconnected: (address) => this.resources.get(address)?.seats.onDisconnected(),
      },
    );
  }

  /** Starts monitoring. */
  start(): void {
    this.monitor.start();
  }

  /**
   * Ends all statements and transactions, and starts no more. Monitoring goes on: evidence for a commit may still arrive, and the
   * instances are told to end what runs.
   */
  endStatements(reason: string): void {
    this.hasEnded = true;
    const error = new BackendConnectionLostError(reason, { sent: false });
    for (const { pool, slots } of this.resources.values()) {
      pool.stop(reason);
      slots.setMaximumWaiting(0);
      slots.refuseWaiting(error);
    }
    for (const endWait of [...this.waits]) endWait();
  }

  /** Whether statements have been ended and no more may be started. */
  get isEnded(): boolean {
    return this.hasEnded;
  }

  /** Stops everything at once. */
  stop(): void {
    this.monitor.stop();
    for (const resource of this.resources.values()) {
      resource.seats.stop();
      resource.pool.closeAll();
    }
  }

  /** Name of the group. */
  get name(): string {
    return this.configuration.name;
  }

  /** Configuration in force. */
  get configuration(): GroupConfiguration {
    return this.currentConfiguration;
  }

  /** Takes over a configuration with the same instances, slots, connections and seats. */
  reconfigure(configuration: GroupConfiguration): void {
    this.currentConfiguration = configuration;
    for (const { slots } of this.resources.values()) {
      slots.setMaximumWaiting(configuration.limits.queue);
    }
    this.setLeaving(this.platformLeaving);
  }

  /**
   * Sets which seats this process should hold, at every instance. All seats are given up only when the
   * sessions under way are over, or after a while.
   */
  setSeats(seats: readonly number[]): void {
    this.wantsSeats = seats.length > 0;
    if (this.wantsSeats) this.applySeats(seats);
    else this.giveUpSeats(this.runtime.clock.now() + GIVE_UP_LIMIT_MS);
  }

  /** Whether new sessions may be opened here. */
  get acceptsSessions(): boolean {
    if (!this.wantsSeats) return false;
    return [...this.resources.values()].some((resource) => resource.slots.limit > 0);
  }

  /** Notes whether a session has a statement or a transaction under way. */
  setBusy(session: object, isBusy: boolean): void {
    if (isBusy) this.busySessions.add(session);
    else this.busySessions.delete(session);
  }

  private applySeats(seats: readonly number[]): void {
    for (const resource of this.resources.values()) resource.seats.setWanted(seats);
  }

  private giveUpSeats(deadline: number): void {
    if (this.wantsSeats) return;
    const { clock } = this.runtime;
    const mustWait = this.busySessions.size > 0 && clock.now() < deadline;
    if (mustWait) clock.setTimer(GIVE_UP_POLL_MS, () => this.giveUpSeats(deadline));
    else this.applySeats([]);
  }

  /** Resources of all instances. */
  get allResources(): readonly InstanceResources[] {
    return [...this.resources.values()];
  }

  /** Resources of one instance. */
  resourcesOf(address: string): InstanceResources | undefined {
    return this.resources.get(address);
  }

  /** Sets the instances that the platform says are leaving, besides those configured so. */
  setLeaving(addresses: ReadonlySet<string>): void {
    if (!this.options.protections.isOn('drain')) return;
    this.platformLeaving = addresses;
    const configured = this.configuration.instances
      .filter((instance) => instance.leaving)
      .map((instance) => instance.address);
    this.monitor.setLeaving(new Set([...addresses, ...configured]));
  }

  /** Whether an instance must be left by open transactions too. */
  isLeaving(address: string): boolean {
    const instance = findInstance(this.monitor.group, address);
    return isLeavingInstance(instance);
  }

  /** Address of the primary that may take work, if there is one. */
  trustedPrimary(): string | undefined {
    const { primary } = this.monitor.group;
    if (primary === undefined || this.hasEnded) return undefined;
    const instance = findInstance(this.monitor.group, primary);
    return instance && takesWork(instance, this.runtime.clock.now()) ? primary : undefined;
  }

  /**
   * Asks an instance again when what is known of it is from before a freeze of this process.
   * @throws BackendConnectionLostError when it does not answer
   */
  async refresh(address: string): Promise<void> {
    const instance = findInstance(this.monitor.group, address);
    if (instance && hasFreshReport(instance, this.runtime.clock.now())) return;
    await this.monitor.prober(address)?.probeAfterNow();
  }

  /**
   * Waits until a primary may be trusted.
   * @returns undefined when the wait is over or too many statements wait already
   */
  waitForPrimary(maximumWaitMs: number): Promise<string | undefined> {
    return this.waitUntil(() => this.trustedPrimary(), maximumWaitMs);
  }

  /** Looks for evidence that a commit survives. */
  confirmCommit(position: Position): Promise<EvidenceOutcome> {
    return this.confirm({ term: position.term, position });
  }

  /**
   * Looks for evidence that everything visible on an instance survives and that it is still the primary.
   * @returns the visible position, or undefined without evidence
   */
  async confirmVisible(address: string): Promise<Position | undefined> {
    try {
      const report = await this.monitor.prober(address)?.probeAfterNow();
      if (!report) return undefined;
      const target = { term: report.term, position: report.executed };
      const outcome = report.isPrimary ? await this.confirm(target) : 'replaced';
      return outcome === 'confirmed' ? report.executed : undefined;
    } catch {
      return undefined;
    }
  }

  private async confirm(target: EvidenceTarget): Promise<EvidenceOutcome> {
    if (!this.options.protections.isOn('commit-evidence')) return 'confirmed';
    const outcome = await findCommitEvidence(
      this.monitor.allProbers,
      target,
      this.runtime.clock,
      this.options.evidence,
    );
    if (outcome === 'confirmed') this.counters.commitsConfirmed++;
    else this.counters.commitsUnconfirmed++;
    return outcome;
  }

  /** A position that covers every commit acknowledged before this call. */
  barrier(): Promise<Position | undefined> {
    this.counters.barriers++;
    return quorumBarrier(
      this.monitor.allProbers,
      this.runtime.clock,
      this.options.barrierTimeoutMs,
    );
  }

  /** Waits until `condition` gives a value, looking again on each change of the group. */
  waitUntil<T>(condition: () => T | undefined, maximumWaitMs: number): Promise<T | undefined> {
    const now = condition();
    if (now !== undefined || this.hasEnded) return Promise.resolve(now);
    if (this.waitingForPrimary >= this.configuration.failover.buffer_statements) {
      return Promise.resolve(undefined);
    }
    this.waitingForPrimary++;
    return new Promise((resolve) => {
      const finish = (value: T | undefined): void => {
        unsubscribe();
        timer.cancel();
        this.waits.delete(endWait);
        this.waitingForPrimary--;
        resolve(value);
      };
      const endWait = (): void => finish(undefined);
      this.waits.add(endWait);
      const timer = this.runtime.clock.setTimer(maximumWaitMs, endWait);
      const unsubscribe = this.monitor.subscribe(() => {
        const value = condition();
        if (value !== undefined) finish(value);
      });
    });
  }

  private createResources(address: string, limits: InstanceLimits): InstanceResources {
    const { clock, connector } = this.runtime;
    const terminator = new SessionTerminator();
    const pool = new BackendPool(address, clock, connector, this.options.pool, terminator);
    const slots = new SlotQueue(clock, this.configuration.limits.queue);
    const seats = new SeatKeeper(limits, clock, pool, slots, terminator);
    return { address, pool, slots, seats, terminator };
  }

  private onMonitorConnected(address: string, connection: BackendConnection): void {
    this.resources.get(address)?.seats.onConnected(connection);
  }

  /**
   * Work under way on a primary that was replaced would wait for an instance that may never answer: its
   * connections are closed, which ends the statements with their verdicts.
   */
  private onTopologyChange(next: GroupDescription, previous: GroupDescription): void {
    this.drainNewlyLeaving(next, previous);
    for (const { address, slots } of this.resources.values()) {
      slots.setReserved(address === next.primary ? RESERVED_SLOTS : 0);
    }
    if (next.primary === undefined && previous.primary !== undefined) this.warmSecondaries(next);
    if (next.primary === undefined || next.primary === this.lastPrimary) return;
    const replaced = this.resources.get(this.lastPrimary ?? '');
    this.lastPrimary = next.primary;
    replaced?.seats.giveUpInstance();
  }

  /** One of the secondaries will be the primary: opening connections then would lengthen the gap. */
  private warmSecondaries(group: GroupDescription): void {
    for (const { address } of readableSecondaries(group, this.runtime.clock.now())) {
      this.resources.get(address)?.pool.warm(WARM_CONNECTIONS);
    }
  }

  /** Gives open transactions a while, then closes what is left on an instance that is leaving. */
  private drainNewlyLeaving(next: GroupDescription, previous: GroupDescription): void {
    for (const instance of next.instances) {
      const { address } = instance;
      const before = findInstance(previous, address);
      if (!this.isLeaving(address) || isLeavingInstance(before)) continue;
      const pool = this.resources.get(address)?.pool;
      pool?.closeIdle();
      this.runtime.clock.setTimer(this.options.drainMs, () => {
        if (this.isLeaving(address)) pool?.closeAll();
      });
    }
  }
}

function isLeavingInstance(instance: InstanceDescription | undefined): boolean {
  return instance !== undefined && (instance.isLeaving || instance.report?.isLeaving === true);
}
