/**
 * Sends one synchronisation request and handles its reply. Tracks the address of the leader, as shown by the replies, and
 * the number of consecutive failures. A failure is returned as an outcome and never thrown.
 */
import { messageOf } from '../../errors/errors.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Runtime } from '../../runtime/runtime.js';
import type { ControlAddresses } from './control_addresses.js';
import type { SyncContent, SyncParticipant } from './sync_participant.js';

/** Outcome of one request. */
export type ExchangeOutcome = 'accepted' | 'redirected' | 'failed';

/** Options of one request. */
export interface ExchangeOptions {
  /** How long the receiver may delay its reply. */
  readonly longPollMs: number;
  readonly timeoutMs: number;
  /** Whether the request goes to another proxy, which forwards it to the leader. */
  readonly isForwarded?: boolean;
}

/** Minimum time between two reported failures of one address: a search retries in quick succession. */
const FAILURE_REPORT_INTERVAL_MS = 1000;

export class SyncExchange {
  private leaderAddress = '';
  private failureCount = 0;
  /** When a failure was last reported, by address. */
  private readonly failureReportedAt = new Map<string, number>();

  constructor(
    private readonly runtime: Runtime,
    private readonly participant: SyncParticipant,
    private readonly controls: ControlAddresses,
  ) {}

  /** Number of consecutive failed requests. */
  get consecutiveFailures(): number {
    return this.failureCount;
  }

  /** Last known address of the leader; empty if unknown. */
  get leader(): string {
    return this.leaderAddress;
  }

  /** Sends one request and applies its reply. Never rejects. */
  async exchange(address: string, options: ExchangeOptions): Promise<ExchangeOutcome> {
    const content = this.participant.syncContent();
    const sentAt = this.runtime.clock.now();
    const body = { syncRequest: this.requestOf(content, options.longPollMs) };
    const reply = await this.send(address, body, options.timeoutMs);
    if (!reply) return this.onFailed(address);
    this.controls.recordListed(reply);
    if (!reply.accepted) return this.onRefused(address, reply.leaderAddress ?? '');
    if (!options.isForwarded) {
      this.failureCount = 0;
      this.leaderAddress = address;
    }
    this.participant.onSync(reply, content, sentAt);
    return 'accepted';
  }

  private requestOf(content: SyncContent, longPollMs: number): whinyoke.ISyncRequest {
    const { self, isLeaving, knownVersion } = this.participant;
    return {
      proxy: self,
      leaving: isLeaving,
      waitMs: longPollMs,
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

  private async send(
    address: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<whinyoke.ISyncReply | undefined> {
    try {
      const answer = await this.runtime.messenger.request(address, body, timeoutMs);
      if (!answer.syncReply) {
        const reason = answer.refusal?.reason ?? 'expected a sync reply, got another message';
        this.reportFailure(address, reason);
      }
      return answer.syncReply ?? undefined;
    } catch (error) {
      this.reportFailure(address, messageOf(error));
      return undefined;
    }
  }

  private onFailed(address: string): ExchangeOutcome {
    if (this.leaderAddress === address) this.leaderAddress = '';
    this.failureCount++;
    return 'failed';
  }

  /** The machine is not the leader; it may name the leader. */
  private onRefused(address: string, namedLeader: string): ExchangeOutcome {
    if (namedLeader === '' || namedLeader === address) {
      this.reportFailure(address, 'not the leader, and it knows no other leader');
      return this.onFailed(address);
    }
    // A late reply may name a former leader, so it must not replace a known one.
    if (this.leaderAddress === '' || this.leaderAddress === address)
      this.leaderAddress = namedLeader;
    return 'redirected';
  }

  private reportFailure(address: string, reason: string): void {
    const now = this.runtime.clock.now();
    const reportedAt = this.failureReportedAt.get(address) ?? -Infinity;
    if (now - reportedAt < FAILURE_REPORT_INTERVAL_MS) return;
    this.failureReportedAt.set(address, now);
    this.participant.onControlFailure(address, reason);
  }
}
