/** The two sides of synchronisation with control: what a request carries, and who makes requests and takes replies. */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** What a sync request carries, as of now. */
export interface SyncContent {
  /** Version of the routing document in force. */
  readonly knownDocument: number;
  /** Version of the description of the fleet. */
  readonly knownDirectory: number;
  /** Epochs in which this proxy uses no earlier primary any more. */
  readonly revocations: readonly whinyoke.IRevocation[];
  /** Health of primaries. */
  readonly reports: readonly whinyoke.IPrimaryReport[];
  /** Whether positions of primaries are wanted with the reply. */
  readonly wantsPositions: boolean;
  /** Term of the leader on whose clock `positions` give their times. */
  readonly clockTerm: number;
  /** Positions with which primaries answered this proxy. */
  readonly positions: readonly whinyoke.IPositionReport[];
}

/** The proxy's side. */
export interface SyncParticipant {
  /** Identity of the proxy. */
  readonly self: whinyoke.IProxyEntry;
  /** Whether the proxy takes no new callers. */
  readonly isLeaving: boolean;
  /** Version of the catalog that is known; 0 before the first reply. */
  readonly knownVersion: number;
  /** Addresses of proxies that forward a request to the leader. */
  readonly forwarders: readonly string[];
  /** Content of a request that is sent now. */
  syncContent(): SyncContent;
  /** Takes over a reply to a request that was sent at `sentAt`. */
  onSync(reply: whinyoke.ISyncReply, content: SyncContent, sentAt: number): void;
  /** A request to a control machine, or through another proxy, failed. */
  onControlFailure(address: string, reason: string): void;
}
