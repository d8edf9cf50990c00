/**
 * DECISION: how the leading control machine is searched. Owns which machines are being asked; relies on control machines and on other
 * proxies, any of which may not answer.
 *
 * Answers: the leader stopped, or can't be reached, and leases run out.
 * Inputs: addresses of control machines; failures in a row; whether the proxy has a catalog already.
 * Rule: {@link SEARCH_WIDTH} machines are asked at once and a further one every {@link SEARCH_STEP_MS}; each names the
 * leader, answers as the leader, or is asked again after a pause. After {@link FAILURES_BEFORE_FORWARDING} failures in a
 * row requests go through other proxies too. A search ends when the leader answered, or after {@link SEARCH_MS}.
 */
import { type Runtime, delay } from '../../runtime/runtime.js';
import type { ControlAddresses } from './control_addresses.js';
import type { ExchangeOptions, ExchangeOutcome, SyncExchange } from './sync_exchange.js';
import type { SyncParticipant } from './sync_participant.js';

/**
 * A search keeps its request at a machine that answers nothing: it may hold the request until it knows a leader, or be
 * the leader and have many to answer first. Asking again would only lengthen that queue. A machine without power is known
 * by its connection, which does not open. Guess, not measured.
 */
const SEARCH_OPTIONS: ExchangeOptions = { longPollMs: 300, timeoutMs: 600 };
/** A request through another proxy; that proxy's own request to the leader takes most of the time. Guess, not measured. */
const FORWARDED_OPTIONS: ExchangeOptions = { longPollMs: 0, timeoutMs: 300, isForwarded: true };
/** Pause between requests that other proxies forward, in milliseconds: a small part of a lease. Guess, not measured. */
const FORWARD_PAUSE_MS = 250;
/** Failures in a row after which requests go through another proxy too. Guess, not measured. */
const FAILURES_BEFORE_FORWARDING = 3;
/** Control machines that are asked at the same time while the leader is unknown. Guess, not measured. */
const SEARCH_CONCURRENCY = 3;
/** For how long a search goes on before other proxies are asked too, in milliseconds. Guess, not measured. */
const SEARCH_DURATION_MS = 600;
/** Time for an answer before a further control machine is asked, in milliseconds. Guess, not measured. */
const SEARCH_STEP_INTERVAL_MS = 120;
/** Pause before a machine that knew no leader is asked again, in milliseconds. Guess, not measured. */
const RETRY_PAUSE_MS = 60;
/** Pause of a process that starts, in milliseconds: callers wait for its first catalog. Guess, not measured. */
const START_RETRY_PAUSE_MS = 15;

/** State of one search; several requests are under way at the same time. */
class SearchState {
  isFinished = false;
  private resolveFound: () => void = () => undefined;
  /** Resolves when the leader has answered. */
  readonly found = new Promise<void>((resolve) => {
    this.resolveFound = resolve;
  });

  /** The leader has answered. */
  finish(): void {
    this.isFinished = true;
    this.resolveFound();
  }
}

/** Searches of one proxy. */
export class LeaderSearch {
  /** Machines at which a request of a search waits. */
  private readonly requestsPendingAt = new Set<string>();
  private isStopped = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly participant: SyncParticipant,
    private readonly controls: ControlAddresses,
    private readonly exchange: SyncExchange,
  ) {}

  /** Ends all searches. */
  stop(): void {
    this.isStopped = true;
  }

  /** Searches once; resolves when the leader answered, or after {@link SEARCH_MS}. */
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

  /** Asks the next control machine at which no request waits. */
  private askNext(search: SearchState): void {
    const address = this.controls.next(this.requestsPendingAt);
    if (address !== undefined) void this.searchAt(address, search);
  }

  /** Asks one control machine, and the leader that it names, until the search is over. */
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

  /** Asks other proxies to forward a request: they may reach a leader that this one can't reach. */
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
