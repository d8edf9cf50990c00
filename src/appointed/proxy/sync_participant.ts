/** Interface between the control client and the proxy: the content of sync requests, and the receiver of replies. */
import type { whinyoke } from '../../protocol/generated/messages.js';

/** Content of a sync request. */
export interface SyncContent {
  /** Version of the routing document in force. */
  readonly knownDocument: number;
  /** Version of the fleet directory. */
  readonly knownDirectory: number;
  /** Epochs for which this proxy has stopped using earlier primaries. */
  readonly revocations: readonly whinyoke.IRevocation[];
  /** Health reports on primaries. */
  readonly reports: readonly whinyoke.IPrimaryReport[];
  /** Whether the reply should contain positions of primaries. */
  readonly wantsPositions: boolean;
  /** Term of the leader whose clock the times in `positions` refer to. */
  readonly clockTerm: number;
  /** Positions received from primaries. */
  readonly positions: readonly whinyoke.IPositionReport[];
}

/** The proxy, as seen by the control client. */
export interface SyncParticipant {
  /** Identity of the proxy process. */
  readonly self: whinyoke.IProxyEntry;
  /** Whether the proxy accepts no new callers. */
  readonly isLeaving: boolean;
  /** Version of the catalog in force; 0 before the first reply. */
  readonly knownVersion: number;
  /** Addresses of proxies that forward requests to the leader. */
  readonly forwarders: readonly string[];
  /** Content of a request that is sent now. */
  syncContent(): SyncContent;
  /** Applies the reply to a request that was sent at `sentAt`. */
  onSync(reply: whinyoke.ISyncReply, content: SyncContent, sentAt: number): void;
  /** A request to a control machine, or through another proxy, failed. */
  onControlFailure(address: string, reason: string): void;
}
