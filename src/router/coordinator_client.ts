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
/** Failures in a row after which requests go through another proxy. */
const FAILURES_BEFORE_RELAY = 3;

/** Client of one proxy. */
export class CoordinatorClient {
  private controls: readonly string[];
  private leader = '';
  private nextControl = 0;
  private failures = 0;
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
      await this.exchange(this.leader || this.pickControl(), 0);
    } while (this.isUrgentWanted && !this.isStopped);
    this.isUrgentUnderWay = false;
  }

  private async loop(): Promise<void> {
    while (!this.isStopped) {
      const address = this.leader || this.pickControl();
      const isFirst = this.participant.knownVersion === 0;
      const isAccepted = await this.exchange(address, isFirst ? 0 : HOLD_MS);
      if (isAccepted) continue;
      const pauseMs = isFirst ? START_RETRY_PAUSE_MS : RETRY_PAUSE_MS;
      await delay(this.runtime.clock, pauseMs);
    }
  }

  private pickControl(): string {
    const all = [...new Set([...this.controls, ...this.seeds])];
    const address = all[this.nextControl % all.length] ?? '';
    this.nextControl++;
    return address;
  }

  /** One request and its reply; false when it brought nothing. */
  private async exchange(address: string, holdMs: number): Promise<boolean> {
    const content = this.participant.syncContent();
    const sentAt = this.runtime.clock.now();
    const isRelayed = this.failures >= FAILURES_BEFORE_RELAY && this.failures % 2 === 1;
    const relays = this.participant.relays;
    const relay = isRelayed ? relays[this.runtime.random.integer(0, relays.length - 1)] : undefined;
    const body: MessageBody = {
      syncRequest: {
        proxy: this.participant.self,
        leaving: this.participant.isLeaving,
        waitMs: relay === undefined ? holdMs : 0,
        knownVersion: this.participant.knownVersion,
        knownDocument: content.knownDocument,
        revocations: [...content.revocations],
        reports: [...content.reports],
      },
    };
    const timeoutMs = relay === undefined ? REQUEST_TIMEOUT_MS + holdMs : RELAYED_TIMEOUT_MS;
    const reply = await this.send(relay ?? address, body, timeoutMs);
    if (!reply) {
      this.failures++;
      this.leader = '';
      return false;
    }
    if ((reply.controlAddresses ?? []).length > 0) this.controls = reply.controlAddresses!;
    if (!reply.accepted) {
      const isNews = reply.leaderAddress !== '' && reply.leaderAddress !== address;
      this.leader = isNews ? (reply.leaderAddress ?? '') : '';
      if (!isNews) this.failures++;
      return false;
    }
    if (relay === undefined) {
      this.failures = 0;
      this.leader = address;
    }
    this.participant.onSync(reply, content, sentAt);
    return true;
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
