/**
 * Searches for the control leader when it is unknown, for example because it failed or is unreachable while leases expire.
 * Initially {@link SEARCH_CONCURRENCY} control machines are asked at once, and another one every
 * {@link SEARCH_STEP_INTERVAL_MS}. Each one answers as the leader, names the leader, or is asked again after a pause. After
 * {@link FAILURES_BEFORE_FORWARDING} consecutive failures, requests are also sent through other proxies. A search ends when
 * the leader answers, or after {@link SEARCH_DURATION_MS}.
 */
import { type Runtime, delay } from '../../runtime/runtime.js';
import type { ControlAddresses } from './control_addresses.js';
import type { ExchangeOptions, ExchangeOutcome, SyncExchange } from './sync_exchange.js';
import type { SyncParticipant } from './sync_participant.js';

/**
 * The timeout is long, because the machine may delay its reply until it knows a leader, or be a leader with many requests
 * queued; repeating the request would only lengthen the queue. A machine that is down is detected by the failing connect.
 */
const SEARCH_OPTIONS: ExchangeOptions = { longPollMs: 300, timeoutMs: 600 };
/** Options of a request through another proxy. Most of the time is taken by that proxy's own request to the leader. */
const FORWARDED_OPTIONS: ExchangeOptions = { longPollMs: 0, timeoutMs: 300, isForwarded: true };
/** Pause between forwarded requests; a small part of a lease. */
const FORWARD_PAUSE_MS = 250;
const FAILURES_BEFORE_FORWARDING = 3;
const SEARCH_CONCURRENCY = 3;
const SEARCH_DURATION_MS = 600;
const SEARCH_STEP_INTERVAL_MS = 120;
/** Pause before a machine that knew no leader is asked again. */
const RETRY_PAUSE_MS = 60;
/** Same while the proxy starts: shorter, because callers wait for its first catalog. */
const START_RETRY_PAUSE_MS = 15;

/** State of one search, shared by its concurrent requests. */
class SearchState {
  isFinished = false;
  private resolveFound: () => void = () => undefined;
  /** Resolves when the leader has answered. */
  readonly found = new Promise<void>((resolve) => {
    this.resolveFound = resolve;
  });

  finish(): void {
    this.isFinished = true;
    this.resolveFound();
  }
}

/** Leader searches of one proxy. */
export class LeaderSearch {
  /** Addresses with a search request in flight. */
  private readonly requestsPendingAt = new Set<string>();
  private isStopped = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly participant: SyncParticipant,
    private readonly controls: ControlAddresses,
    private readonly exchange: SyncExchange,
  ) {}

  /** Ends a running search. */
  stop(): void {
    this.isStopped = true;
  }

  /** Searches once; resolves when the leader answers, or after {@link SEARCH_DURATION_MS}. */
  async run(): Promise<void> {
    const { clock } = this.runtime;
    const search = new SearchState();
    for (let count = 0; count < SEARCH_CONCURRENCY; count++) this.askNext(search);
    const isForwarding = this.exchange.consecutiveFailures >= FAILURES_BEFORE_FORWARDING;
    if (isForwarding) void this.searchThroughForwarders(search);
    const until = clock.now() + SEARCH_DURATION_MS;
    while (!search.isFinished && !this.isStopped && clock.now() < until) {
      await Promise.race([search.found, delay(clock, SEARCH_STEP_INTERVAL_MS)]);
      if (!search.isFinished) this.askNext(search);
    }
    search.isFinished = true;
  }

  /** Asks the next control machine that has no request in flight. */
  private askNext(search: SearchState): void {
    const address = this.controls.next(this.requestsPendingAt);
    if (address !== undefined) void this.searchAt(address, search);
  }

  /** Asks one control machine, and then the leader that it names, until the search ends. */
  private async searchAt(address: string, search: SearchState): Promise<void> {
    let target = address;
    while (!search.isFinished && !this.isStopped) {
      const outcome = await this.ask(target);
      if (outcome === 'accepted') {
        search.finish();
        return;
      }
      const namedLeader = outcome === 'redirected' ? this.exchange.leader : '';
      if (namedLeader !== '' && this.requestsPendingAt.has(namedLeader)) return;
      target = namedLeader || address;
      if (namedLeader === '') await delay(this.runtime.clock, this.retryPauseMs);
    }
  }

  private async ask(address: string): Promise<ExchangeOutcome> {
    this.requestsPendingAt.add(address);
    try {
      return await this.exchange.exchange(address, SEARCH_OPTIONS);
    } finally {
      this.requestsPendingAt.delete(address);
    }
  }

  /** Sends requests through other proxies, which may reach a leader that this proxy cannot reach. */
  private async searchThroughForwarders(search: SearchState): Promise<void> {
    while (!search.isFinished && !this.isStopped) {
      const { forwarders } = this.participant;
      const address = forwarders[this.runtime.random.integer(0, forwarders.length - 1)];
      if (address !== undefined) await this.exchange.exchange(address, FORWARDED_OPTIONS);
      await delay(this.runtime.clock, FORWARD_PAUSE_MS);
    }
  }

  private get retryPauseMs(): number {
    return this.participant.knownVersion === 0 ? START_RETRY_PAUSE_MS : RETRY_PAUSE_MS;
  }
}
