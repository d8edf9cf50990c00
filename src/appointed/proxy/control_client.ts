/**
 * Keeps a proxy synchronised with the control leader. One long-poll request is always in flight; its reply carries changes
 * of the configuration, instances, epochs and leases. Updates of the proxy that cannot wait for the next long poll are sent
 * with an immediate request in parallel. While no leader is known, a search runs instead.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { ControlAddresses } from './control_addresses.js';
import { LeaderSearch } from './leader_search.js';
import { type ExchangeOptions, SyncExchange } from './sync_exchange.js';
import type { SyncParticipant } from './sync_participant.js';

/** Timeout of a request beyond the time for which the leader may delay its reply. */
const RESPONSE_TIMEOUT_MS = 300;
/** How long the leader may delay its reply. A small part of a lease (3 s), because leases start when the request is sent. */
const LONG_POLL_MS = 300;
const LONG_POLL_OPTIONS: ExchangeOptions = {
  longPollMs: LONG_POLL_MS,
  timeoutMs: LONG_POLL_MS + RESPONSE_TIMEOUT_MS,
};
const IMMEDIATE_OPTIONS: ExchangeOptions = { longPollMs: 0, timeoutMs: RESPONSE_TIMEOUT_MS };
const NONE_EXCLUDED: ReadonlySet<string> = new Set();

/** Control client of one proxy. */
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
    /** Addresses of control machines in the settings. */
    seeds: readonly string[],
  ) {
    this.controls = new ControlAddresses(seeds);
    this.exchange = new SyncExchange(runtime, participant, this.controls);
    this.search = new LeaderSearch(runtime, participant, this.controls, this.exchange);
  }

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.isStopped = true;
    this.search.stop();
  }

  /** Updates the addresses of control machines after a change of settings. */
  updateSeeds(seeds: readonly string[]): void {
    this.controls.updateSeeds(seeds);
  }

  /** Number of consecutive failed requests. */
  get failedRequests(): number {
    return this.exchange.consecutiveFailures;
  }

  /** Last known address of the leader; empty if unknown. */
  get leaderAddress(): string {
    return this.exchange.leader;
  }

  /** Sends all updates immediately, in parallel with the long poll. Calls during such a request cause one more. */
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
