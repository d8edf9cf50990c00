/**
 * Keeps a proxy in step with the leading control machine: configuration, instances, epochs and leases come
 * with the reply to one held request; opinions on primaries and confirmed revocations go with the next. Owns the order
 * of requests; relies on control, which may be out of reach: then the leader is searched.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { ControlAddresses } from './control_addresses.js';
import { LeaderSearch } from './leader_search.js';
import { type ExchangeOptions, SyncExchange } from './sync_exchange.js';
import type { SyncParticipant } from './sync_participant.js';

/**
 * Time for the leader to answer beyond the time for which it holds a request, in milliseconds: a trip and the work of the leader.
 * Guess, not measured.
 */
const RESPONSE_TIMEOUT_MS = 300;
/**
 * How long the leader may hold a request, in milliseconds. A lease counts from the begin of the request, so this is a small
 * part of a lease (3 s). Guess, not measured.
 */
const LONG_POLL_MS = 300;
const LONG_POLL_OPTIONS: ExchangeOptions = {
  longPollMs: LONG_POLL_MS,
  timeoutMs: LONG_POLL_MS + RESPONSE_TIMEOUT_MS,
};
const IMMEDIATE_OPTIONS: ExchangeOptions = { longPollMs: 0, timeoutMs: RESPONSE_TIMEOUT_MS };
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

/** Client of one proxy. */
export class ControlClient {
  private readonly controls: ControlAddresses;
  private readonly exchange: SyncExchange;
  private readonly search: LeaderSearch;
  private isStopped = false;
  private isImmediateSyncInFlight = false;
  private isImmediateSyncPending = false;

  constructor(
    runtime: Runtime,
    participant: SyncParticipant,
    /** Addresses of control machines as of the settings. */
    seeds: readonly string[],
  ) {
    this.controls = new ControlAddresses(seeds);
    this.exchange = new SyncExchange(runtime, participant, this.controls);
    this.search = new LeaderSearch(runtime, participant, this.controls, this.exchange);
  }

  /** Starts to synchronise. */
  start(): void {
    void this.loop();
  }

  /** Stops. */
  stop(): void {
    this.isStopped = true;
    this.search.stop();
  }

  /** Takes over control machines of changed settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.controls.updateSeeds(seeds);
  }

  /** Failed requests in a row; 0 while in touch. */
  get failedRequests(): number {
    return this.exchange.consecutiveFailures;
  }

  /** Address of the leader as last heard of; empty when unknown. */
  get leaderAddress(): string {
    return this.exchange.leader;
  }

  /** Sends what is new at once, beside the held request. */
  async syncNow(): Promise<void> {
    if (this.isImmediateSyncInFlight) {
      this.isImmediateSyncPending = true;
      return;
    }
    this.isImmediateSyncInFlight = true;
    do {
      this.isImmediateSyncPending = false;
      const address = this.leaderAddress || (this.controls.next(NONE_EXCLUDED) ?? '');
      await this.exchange.exchange(address, IMMEDIATE_OPTIONS);
    } while (this.isImmediateSyncPending && !this.isStopped);
    this.isImmediateSyncInFlight = false;
  }

  private async loop(): Promise<void> {
    while (!this.isStopped) {
      if (this.leaderAddress === '') await this.search.run();
      else await this.exchange.exchange(this.leaderAddress, LONG_POLL_OPTIONS);
    }
  }
}
