/**
 * A control machine for groups that choose their primary themselves: replicated configurations, their distribution, and the list
 * of proxies. Puts its parts together and hands messages to them.
 *
 * Owns the held requests for changes. Relies on the other control machines and the disk (both behind `node`), and on the
 * platform's list, each of which may fail.
 */
import { RaftLog } from '../../consensus/raft_log.js';
import type { RaftObserver } from '../../consensus/member_state.js';
import { RaftNode } from '../../consensus/raft_node.js';
import { DEFAULT_RAFT_OPTIONS, type RaftOptions } from '../../consensus/raft_options.js';
import { ProtectionSet } from '../gateway/protections.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Runtime } from '../../runtime/runtime.js';
import { ClusterJoiner, loadIdentity } from '../../consensus/cluster_joiner.js';
import { ConfigurationStore } from './configuration_store.js';
import { type PlatformSource, PlatformWatcher } from './platform_watcher.js';
import { ProxyRegistry } from './proxy_registry.js';
import { SubmissionService } from './submission_service.js';

/** Identity and surroundings of a control machine. */
export interface ControlOptions {
  /** Address for messages of other processes. */
  readonly address: string;
  /** Addresses of all control machines, this one included. */
  readonly controls: readonly string[];
  /** Timing that differs from the default; for the lab. */
  readonly raft?: Partial<RaftOptions>;
  /** Protections in force; all of them by default. */
  readonly protections?: ProtectionSet;
  /** Where to read the platform's list of machines, if anywhere. */
  readonly platform?: PlatformSource;
  /**
   * Begin a new cluster of one from the state on this disk, when a majority of the disks was lost for
   * good. Never use it while another machine may still hold a majority.
   */
  readonly recoverAlone?: boolean;
}

/** Longest time for which a request for changes is held, in milliseconds. A guess, not measured. */
const MAXIMUM_HOLD_MS = 10_000;

/** One control machine. */
export class ControlCore {
  private constructor(
    readonly node: RaftNode,
    private readonly runtime: Runtime,
    private readonly joiner: ClusterJoiner,
    private readonly submissions: SubmissionService,
    private readonly registry: ProxyRegistry,
    private readonly platform: PlatformWatcher | undefined,
    /** The replicated state. */
    readonly store: ConfigurationStore,
  ) {}

  /** Reads the durable state and prepares everything; nothing is sent before `start`. */
  static async open(
    runtime: Runtime,
    options: ControlOptions,
    observer: RaftObserver = {},
  ): Promise<ControlCore> {
    const protections = options.protections ?? ProtectionSet.all;
    const keepsIdentity = !protections.isOn('stable-identity');
    const identity = await loadIdentity(runtime, keepsIdentity ? options.address : undefined);
    const log = await RaftLog.open(runtime.folder);
    const store = new ConfigurationStore();
    const raftOptions = { ...DEFAULT_RAFT_OPTIONS, ...options.raft };
    const { address } = options;
    const node = new RaftNode(identity, address, runtime, log, store, raftOptions, observer);
    const joiner = new ClusterJoiner(node, runtime, () => options.controls, {
      recoversAsSingleMember: options.recoverAlone ?? false,
      usesAddressesAsIds: keepsIdentity,
    });
    return new ControlCore(
      node,
      runtime,
      joiner,
      new SubmissionService(node, store),
      new ProxyRegistry(runtime.clock, runtime.random.identifier()),
      options.platform && new PlatformWatcher(runtime.clock, options.platform),
      store,
    );
  }

  /** Joins the cluster and serves. */
  async start(): Promise<void> {
    this.runtime.messenger.serve((body) => this.handle(body));
    this.platform?.start();
    await this.joiner.prepare();
    this.node.start();
    this.joiner.start();
  }

  /** Stops serving. */
  stop(): void {
    this.platform?.stop();
    this.joiner.stop();
    this.node.stop();
  }

  /** Answers a message of another process. */
  async handle(body: MessageBody): Promise<MessageBody> {
    if (body.submitRequest) {
      return { submitReply: await this.submissions.submit(body.submitRequest) };
    }
    if (body.watchRequest) return this.watch(body.watchRequest);
    if (body.heartbeatRequest) return this.heartbeat(body.heartbeatRequest);
    if (body.statusRequest) return { statusReply: this.status() };
    if (body.historyRequest) {
      const entries = this.store.recentHistory(body.historyRequest.limit ?? 0);
      return { historyReply: { entries } };
    }
    if (body.joinRequest) return { joinReply: await this.joiner.onJoin(body.joinRequest) };
    return this.node.handle(body);
  }

  /** State of this machine as operators see it. */
  status(): whinyoke.IStatusReply {
    return {
      member: this.node.id,
      term: this.node.currentTerm,
      leader: this.node.leaderAddress,
      hasQuorum: this.node.hasQuorum,
      revision: this.store.revision,
      proxies: this.registry.reports(),
      membership: this.node.membership.toMessage(),
      commitIndex: this.node.appliedIndex,
      logBytes: this.node.log.byteLength,
    };
  }

  private heartbeat(request: whinyoke.IHeartbeatRequest): MessageBody {
    const reply = this.registry.onHeartbeat(request);
    const leaving = this.platform?.leavingInstances ?? [];
    return { heartbeatReply: { ...reply, revision: this.store.revision, leaving: [...leaving] } };
  }

  /** Holds the request until there is something newer than its sender knows. */
  private async watch(request: whinyoke.IWatchRequest): Promise<MessageBody> {
    const known = request.knownRevision ?? 0;
    if (this.store.revision <= known) {
      await this.waitForChange(Math.min(request.waitMs ?? 0, MAXIMUM_HOLD_MS));
    }
    const { revision } = this.store;
    const documents = revision > known ? this.store.changedSince(known) : [];
    return { watchReply: { revision, documents, complete: known === 0 } };
  }

  private waitForChange(maximumWaitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        cancel();
        resolve();
      };
      const timer = this.runtime.clock.setTimer(maximumWaitMs, finish);
      const cancel = this.store.onNextChange(finish);
    });
  }
}
