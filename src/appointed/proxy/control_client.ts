/**
 * Keeps a proxy in step with the leading control machine: configuration, instances, epochs and leases come
 * with the answer to one held request; opinions on primaries and confirmed revocations go with the next.
 */
import { messageOf } from '../../errors/errors.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type MessageBody, type Runtime, delay } from '../../runtime/runtime.js';

/** What a sync request carries, as of now. */
export interface SyncContent {
  readonly knownDocument: number;
  readonly knownDirectory: number;
  readonly revocations: readonly whinyoke.IRevocation[];
  readonly reports: readonly whinyoke.IPrimaryReport[];
  /** Whether positions of primaries are wanted with the reply. */
  readonly wantsPositions: boolean;
  /** Term of the leader on whose clock `positions` are told. */
  readonly clockTerm: number;
  readonly positions: readonly whinyoke.IPositionReport[];
}

/** The proxy's side. */
export interface SyncParticipant {
  readonly self: whinyoke.IProxyEntry;
  readonly isLeaving: boolean;
  /** Version of the catalog that is known; 0 before the first reply. */
  readonly knownVersion: number;
  /** Content of a request that is sent now. */
  syncContent(): SyncContent;
  /** Takes over a reply to a request that was sent at `sentAt`. */
  onSync(reply: whinyoke.ISyncReply, content: SyncContent, sentAt: number): void;
  /** A request to a control machine, or through another proxy, failed. */
  onControlFailure(address: string, reason: string): void;
  /** Addresses of other proxies that may pass a request on. */
  readonly relays: readonly string[];
}

/** A lease counts from the begin of the request, so requests are held for a small part of it only. */
const HOLD_MS = 300;
const REQUEST_TIMEOUT_MS = 300;
const RELAYED_TIMEOUT_MS = 300;
const RETRY_PAUSE_MS = 60;
/** Pause of a process that starts: callers wait for it. */
const START_RETRY_PAUSE_MS = 15;
/** Failures in a row after which requests go through another proxy too. */
const FAILURES_BEFORE_RELAY = 3;
/** Control machines that are asked at the same time while the leader is unknown. */
const SEARCH_WIDTH = 3;
/** For how long a search goes on before other proxies are asked too, in milliseconds. */
const SEARCH_MS = 600;
/** A control machine that does not answer is left alone for this long while others are asked, in milliseconds. */
const SEARCH_STEP_MS = 120;
/**
 * A search keeps its request at a machine that answers nothing: it may hold the request until it knows a leader, or be
 * the leader and have many to answer first. Asking again would only lengthen that queue. A machine without power is known
 * by its connection, which does not open.
 */
const SEARCH_OPTIONS: ExchangeOptions = { holdMs: 300, timeoutMs: 600 };
/** Pause between requests that another proxy passes on: a small part of a lease. */
const RELAY_PAUSE_MS = 250;

/** What became of one request. */
type ExchangeOutcome = 'accepted' | 'redirected' | 'failed';

/** Failures of one address within this time are told once, in milliseconds: a search asks again every few. */
const FAILURE_SPACING_MS = 1000;

/** How one request is sent. */
interface ExchangeOptions {
  /** How long the receiver may hold it, in milliseconds. */
  readonly holdMs: number;
  readonly timeoutMs: number;
  /** Whether it goes to another proxy, which passes it on. */
  readonly isRelayed?: boolean;
}

/** A search for the leader; several requests are under way at the same time. */
class Search {
  isOver = false;
  private end: () => void = () => undefined;
  /** Resolves when the leader has answered. */
  readonly found = new Promise<void>((resolve) => {
    this.end = resolve;
  });

  /** The leader has answered. */
  finish(): void {
    this.isOver = true;
    this.end();
  }
}

/** Client of one proxy. */
export class ControlClient {
  private controls: readonly string[];
  private leader = '';
  private nextControl = 0;
  private failures = 0;
  /** When a failure was told last, by address. */
  private readonly failureToldAt = new Map<string, number>();
  /** Machines at which a request of a search waits. */
  private readonly asked = new Set<string>();
  private isStopped = false;
  private isUrgentUnderWay = false;
  private isUrgentWanted = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly participant: SyncParticipant,
    /** Addresses of control machines as of the settings. */
    private seeds: readonly string[],
  ) {
    this.controls = seeds;
  }

  /** Starts to synchronise. */
  start(): void {
    void this.loop();
  }

  /** Stops. */
  stop(): void {
    this.isStopped = true;
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Failed requests in a row; 0 while in touch. */
  get failedRequests(): number {
    return this.failures;
  }

  /** Address of the leader as last heard of; empty when unknown. */
  get leaderAddress(): string {
    return this.leader;
  }

  /** Sends what is new at once, beside the held request. */
  async syncNow(): Promise<void> {
    if (this.isUrgentUnderWay) {
      this.isUrgentWanted = true;
      return;
    }
    this.isUrgentUnderWay = true;
    do {
      this.isUrgentWanted = false;
      const address = this.leader || this.pickControl();
      await this.exchange(address, { holdMs: 0, timeoutMs: REQUEST_TIMEOUT_MS });
    } while (this.isUrgentWanted && !this.isStopped);
    this.isUrgentUnderWay = false;
  }

  private async loop(): Promise<void> {
    const held = { holdMs: HOLD_MS, timeoutMs: HOLD_MS + REQUEST_TIMEOUT_MS };
    while (!this.isStopped) {
      if (this.leader === '') await this.findLeader();
      else await this.exchange(this.leader, held);
    }
  }

  /**
   * Asks several machines at once, and a further one each time none has answered for a while: some may be gone without a
   * sign, and others may not know the leader yet.
   */
  private async findLeader(): Promise<void> {
    const { clock } = this.runtime;
    const search = new Search();
    for (let lane = 0; lane < SEARCH_WIDTH; lane++) this.askNext(search);
    if (this.failures >= FAILURES_BEFORE_RELAY) void this.searchThroughRelays(search);
    const until = clock.now() + SEARCH_MS;
    while (!search.isOver && !this.isStopped && clock.now() < until) {
      await Promise.race([search.found, delay(clock, SEARCH_STEP_MS)]);
      if (!search.isOver) this.askNext(search);
    }
    search.isOver = true;
  }

  /** Asks the next control machine at which no request waits. */
  private askNext(search: Search): void {
    const free = this.allControls.filter((address) => !this.asked.has(address));
    const address = free[this.nextControl++ % free.length];
    if (address !== undefined) void this.searchAt(address, search);
  }

  /** Asks one control machine, and the leader that it names, until the search is over. */
  private async searchAt(address: string, search: Search): Promise<void> {
    let target = address;
    while (!search.isOver && !this.isStopped) {
      const outcome = await this.ask(target);
      if (outcome === 'accepted') {
        search.finish();
        return;
      }
      const named = outcome === 'redirected' ? this.leader : '';
      if (named !== '' && this.asked.has(named)) return;
      target = named || address;
      if (named === '') await delay(this.runtime.clock, this.retryPauseMs);
    }
  }

  private async ask(address: string): Promise<ExchangeOutcome> {
    this.asked.add(address);
    try {
      return await this.exchange(address, SEARCH_OPTIONS);
    } finally {
      this.asked.delete(address);
    }
  }

  /** Asks other proxies to pass a request on: they may reach a leader that this one can't reach. */
  private async searchThroughRelays(search: Search): Promise<void> {
    const options = { holdMs: 0, timeoutMs: RELAYED_TIMEOUT_MS, isRelayed: true };
    while (!search.isOver && !this.isStopped) {
      const { relays } = this.participant;
      const relay = relays[this.runtime.random.integer(0, relays.length - 1)];
      if (relay !== undefined) await this.exchange(relay, options);
      await delay(this.runtime.clock, RELAY_PAUSE_MS);
    }
  }

  private get retryPauseMs(): number {
    return this.participant.knownVersion === 0 ? START_RETRY_PAUSE_MS : RETRY_PAUSE_MS;
  }

  private get allControls(): readonly string[] {
    return [...new Set([...this.controls, ...this.seeds])];
  }

  private pickControl(): string {
    const all = this.allControls;
    return all[this.nextControl++ % all.length] ?? '';
  }

  private requestOf(content: SyncContent, holdMs: number): whinyoke.ISyncRequest {
    const { self, isLeaving, knownVersion } = this.participant;
    return {
      proxy: self,
      leaving: isLeaving,
      waitMs: holdMs,
      knownVersion,
      knownDocument: content.knownDocument,
      knownDirectory: content.knownDirectory,
      revocations: [...content.revocations],
      reports: [...content.reports],
      wantsPositions: content.wantsPositions,
      clockTerm: content.clockTerm,
      positions: [...content.positions],
    };
  }

  /** One request and its reply. */
  private async exchange(address: string, options: ExchangeOptions): Promise<ExchangeOutcome> {
    const content = this.participant.syncContent();
    const sentAt = this.runtime.clock.now();
    const body = { syncRequest: this.requestOf(content, options.holdMs) };
    const reply = await this.send(address, body, options.timeoutMs);
    if (!reply) return this.onFailed(address);
    this.noteControls(reply);
    if (!reply.accepted) return this.onRefused(address, reply.leaderAddress ?? '');
    if (!options.isRelayed) {
      this.failures = 0;
      this.leader = address;
    }
    this.participant.onSync(reply, content, sentAt);
    return 'accepted';
  }

  private tellFailure(address: string, reason: string): void {
    const now = this.runtime.clock.now();
    if (now - (this.failureToldAt.get(address) ?? -Infinity) < FAILURE_SPACING_MS) return;
    this.failureToldAt.set(address, now);
    this.participant.onControlFailure(address, reason);
  }

  private noteControls(reply: whinyoke.ISyncReply): void {
    const controls = reply.directory?.controlAddresses ?? reply.controlAddresses ?? [];
    if (controls.length > 0) this.controls = controls;
  }

  private onFailed(address: string): ExchangeOutcome {
    if (this.leader === address) this.leader = '';
    this.failures++;
    return 'failed';
  }

  /** The machine does not lead; it may name the one that does. */
  private onRefused(address: string, named: string): ExchangeOutcome {
    if (named === '' || named === address) {
      this.tellFailure(address, 'it knows no leader');
      return this.onFailed(address);
    }
    // An answer that comes late may name a leader of the past.
    if (this.leader === '' || this.leader === address) this.leader = named;
    return 'redirected';
  }

  private async send(
    address: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<whinyoke.ISyncReply | undefined> {
    try {
      const answer = await this.runtime.messenger.request(address, body, timeoutMs);
      if (!answer.syncReply) {
        const reason = answer.refusal?.reason ?? 'an answer of another kind';
        this.tellFailure(address, reason);
      }
      return answer.syncReply ?? undefined;
    } catch (error) {
      this.tellFailure(address, messageOf(error));
      return undefined;
    }
  }
}
