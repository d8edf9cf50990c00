/**
 * One synchronisation request and its reply. Owns the address of the leader, as the replies show it, and the count of
 * failures in a row. Control machines and the network to them may fail; a failure is an outcome, never an error.
 */
import { messageOf } from '../../errors/errors.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { MessageBody, Runtime } from '../../runtime/runtime.js';
import type { ControlAddresses } from './control_addresses.js';
import type { SyncContent, SyncParticipant } from './sync_participant.js';

/** What became of one request. */
export type ExchangeOutcome = 'accepted' | 'redirected' | 'failed';

/** How one request is sent. */
export interface ExchangeOptions {
  /** How long the receiver may hold it, in milliseconds. */
  readonly longPollMs: number;
  /** How long to wait for the reply, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether it goes to another proxy, which forwards it to the leader. */
  readonly isForwarded?: boolean;
}

/**
 * Failures of one address within this time are reported once, in milliseconds: a search asks again every few. One line a
 * second and machine can be read; guess, not measured.
 */
const FAILURE_REPORT_INTERVAL_MS = 1000;

/** Exchange of one proxy. */
export class SyncExchange {
  private leaderAddress = '';
  private failureCount = 0;
  /** When a failure was reported last, by address. */
  private readonly failureReportedAt = new Map<string, number>();

  constructor(
    private readonly runtime: Runtime,
    private readonly participant: SyncParticipant,
    private readonly controls: ControlAddresses,
  ) {}

  /** Failed requests in a row; 0 while in touch. */
  get consecutiveFailures(): number {
    return this.failureCount;
  }

  /** Address of the leader as last heard of; empty when unknown. */
  get leader(): string {
    return this.leaderAddress;
  }

  /** Sends one request and takes over its reply. Never rejects. */
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
        const reason = answer.refusal?.reason ?? 'an answer of another kind';
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

  /** The machine does not lead; it may name the one that does. */
  private onRefused(address: string, namedLeader: string): ExchangeOutcome {
    if (namedLeader === '' || namedLeader === address) {
      this.reportFailure(address, 'it knows no leader');
      return this.onFailed(address);
    }
    // An answer that comes late may name a leader of the past.
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
