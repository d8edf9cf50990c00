/**
 * Keeps a proxy in step with the leading control machine: configuration, instances, epochs and leases come
 * with the answer to one held request; opinions on primaries and confirmed revocations go with the next.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import { type MessageBody, type Runtime, delay } from '../runtime/runtime.js';

/** What a sync request carries, as of now. */
export interface SyncContent {
  readonly knownDocument: number;
  readonly revocations: readonly whinyoke.IRevocation[];
  readonly reports: readonly whinyoke.IPrimaryReport[];
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
/** For how long a search asks the same machines, in milliseconds. */
const SEARCH_MS = 600;
/**
 * One that is gone without a sign is asked again after this time, in milliseconds, doubled with each search in a
 * row that found nothing. One that knows no leader holds a request for half of it.
 */
const SEARCH_TIMEOUT_MS = 120;
const LONGEST_SEARCH_TIMEOUT_MS = 600;
/** Pause between requests that another proxy passes on: a small part of a lease. */
const RELAY_PAUSE_MS = 250;

/** What became of one request. */
type ExchangeOutcome = 'accepted' | 'redirected' | 'failed';

/** How one request is sent. */
interface ExchangeOptions {
  /** How long the receiver may hold it, in milliseconds. */
  readonly holdMs: number;
  readonly timeoutMs: number;
  /** Whether it goes to another proxy, which passes it on. */
  readonly isRelayed?: boolean;
}

/** A search for the leader; several requests are under way at the same time. */
interface Search {
  isOver: boolean;
}

/** Client of one proxy. */
export class CoordinatorClient {
  private controls: readonly string[];
  private leader = '';
  private nextControl = 0;
  private failures = 0;
  /** Searches in a row that did not find the leader. */
  private vainSearches = 0;
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

  /** Asks several machines at once: some may be gone without a sign, and others may not know the leader yet. */
  private async findLeader(): Promise<void> {
    const search: Search = { isOver: false };
    const lanes = this.pickControls().map((address) => this.searchAt(address, search));
    if (this.failures >= FAILURES_BEFORE_RELAY) lanes.push(this.searchThroughRelays(search));
    await Promise.race([...lanes, delay(this.runtime.clock, SEARCH_MS)]);
    search.isOver = true;
    this.vainSearches = this.leader === '' ? this.vainSearches + 1 : 0;
  }

  /** Asks one control machine, and the leader that it names, until the search is over. */
  private async searchAt(address: string, search: Search): Promise<void> {
    const longest = SEARCH_TIMEOUT_MS * 2 ** Math.min(this.vainSearches, 10);
    const timeoutMs = Math.min(longest, LONGEST_SEARCH_TIMEOUT_MS);
    const options = { holdMs: timeoutMs / 2, timeoutMs };
    let target = address;
    while (!search.isOver && !this.isStopped) {
      const outcome = await this.exchange(target, options);
      if (outcome === 'accepted') return;
      const isNews = outcome === 'redirected' && this.leader !== target;
      target = isNews ? this.leader || address : address;
      if (!isNews) await delay(this.runtime.clock, this.retryPauseMs);
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

  private pickControls(): string[] {
    const picked = Array.from({ length: SEARCH_WIDTH }, () => this.pickControl());
    return [...new Set(picked)];
  }

  private pickControl(): string {
    const all = [...new Set([...this.controls, ...this.seeds])];
    const address = all[this.nextControl % all.length] ?? '';
    this.nextControl++;
    return address;
  }

  /** One request and its reply. */
  private async exchange(address: string, options: ExchangeOptions): Promise<ExchangeOutcome> {
    const content = this.participant.syncContent();
    const sentAt = this.runtime.clock.now();
    const body: MessageBody = {
      syncRequest: {
        proxy: this.participant.self,
        leaving: this.participant.isLeaving,
        waitMs: options.holdMs,
        knownVersion: this.participant.knownVersion,
        knownDocument: content.knownDocument,
        revocations: [...content.revocations],
        reports: [...content.reports],
      },
    };
    const reply = await this.send(address, body, options.timeoutMs);
    if (reply && (reply.controlAddresses ?? []).length > 0) this.controls = reply.controlAddresses!;
    if (reply?.accepted) {
      if (!options.isRelayed) {
        this.failures = 0;
        this.leader = address;
      }
      this.participant.onSync(reply, content, sentAt);
      return 'accepted';
    }
    if (this.leader === address) this.leader = '';
    const named = reply?.leaderAddress ?? '';
    if (named === '' || named === address) {
      this.failures++;
      return 'failed';
    }
    this.leader = named;
    return 'redirected';
  }

  private async send(
    address: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<whinyoke.ISyncReply | undefined> {
    try {
      const answer = await this.runtime.messenger.request(address, body, timeoutMs);
      return answer.syncReply ?? undefined;
    } catch {
      return undefined;
    }
  }
}
