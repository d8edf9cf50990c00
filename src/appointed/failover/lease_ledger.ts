/**
 * Ledger of the leases that proxies hold on primaries; decides when all leases of an epoch have ended.
 *
 * A proxy holds no lease once it has confirmed the current epoch, or once its newest lease has expired. A new leader counts
 * leases of former leaders until LEASE_MS + STALE_LEADER_MS after it began to lead, and takes every proxy to have been in
 * contact with one until STALE_LEADER_MS after that. The ledger counts from when the leader answered, a proxy from when it
 * sent its request, so no lease outlasts its entry here. Times are milliseconds on the leader's clock. The state is in this
 * leader's memory.
 */
import type { ProxyEntry } from '../catalog/catalog.js';
import { type Position, START, latest } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { STALE_LEADER_MS } from '../leases/lease_times.js';
import { MAX_REPLICA_LEASE_TRUST_MS, type UnconfirmedProxies } from './appointment_fence.js';

/** State of the revocation of an epoch's leases. */
export interface RevocationState {
  /** Whether no proxy uses an earlier epoch any more. */
  readonly isComplete: boolean;
  /** Whether every registered proxy confirmed that itself, with what it had acknowledged. */
  readonly isConfirmedByAll: boolean;
  /** Highest position that a proxy reported as acknowledged. */
  readonly acknowledged: Position | undefined;
  /** The registered proxies that did not confirm. */
  readonly unconfirmed: UnconfirmedProxies;
}

/** Newest request of one incarnation of a proxy. */
interface Contact {
  readonly receivedAt: number;
  readonly knownVersion: number;
}

interface Confirmation {
  readonly incarnation: string;
  readonly epoch: number;
  readonly position: Position | undefined;
}

export class LeaseLedger {
  private readonly leasedUntil = new Map<string, number>();
  private readonly confirmations = new Map<string, Confirmation>();
  private readonly contacts = new Map<string, Contact>();
  private formerLeasesUntil = -Infinity;
  /** Until when a former leader may have answered a proxy. */
  private formerContactsUntil = -Infinity;

  /** Starts a leadership at `now`: earlier leaders may have granted leases that last until `until`. */
  beginLeadership(until: number, now: number): void {
    this.leasedUntil.clear();
    this.confirmations.clear();
    this.contacts.clear();
    this.formerLeasesUntil = until;
    this.formerContactsUntil = now + STALE_LEADER_MS;
  }

  /** Records a request of a proxy that knows the catalog up to a version. */
  recordContact(proxy: ProxyEntry, knownVersion: number, now: number): void {
    this.contacts.set(incarnationKey(proxy), { receivedAt: now, knownVersion });
  }

  /** Records a lease of a proxy on the current epoch of a group. */
  grant(group: string, proxy: ProxyEntry, until: number): void {
    this.leasedUntil.set(leaseKey(group, proxy), until);
  }

  /** Records a proxy's confirmation that it uses no epoch of the group before that of the message. */
  confirm(proxy: ProxyEntry, message: whinyoke.IRevocation): void {
    const position = message.hasPosition ? (positionOf(message.position) ?? START) : undefined;
    this.confirmations.set(`${message.group}\n${proxy.id}`, {
      incarnation: proxy.incarnation ?? '',
      epoch: message.epoch ?? 0,
      position,
    });
  }

  /** State of the revocation that began with `epoch`. */
  revocationState(
    group: string,
    epoch: number,
    proxies: readonly ProxyEntry[],
    now: number,
  ): RevocationState {
    let isComplete = true;
    let isConfirmedByAll = true;
    let acknowledged: Position | undefined;
    let knownVersion = Infinity;
    let trustUntil = -Infinity;
    for (const proxy of proxies) {
      const confirmation = this.confirmations.get(`${group}\n${proxy.id}`);
      const isConfirmed =
        confirmation?.epoch === epoch && confirmation.incarnation === proxy.incarnation;
      if (isConfirmed) {
        const { position } = confirmation;
        if (position) acknowledged = acknowledged ? latest(acknowledged, position) : position;
        continue;
      }
      isConfirmedByAll = false;
      const contact = this.contacts.get(incarnationKey(proxy));
      knownVersion = Math.min(knownVersion, contact?.knownVersion ?? 0);
      const contactAt = Math.max(contact?.receivedAt ?? -Infinity, this.formerContactsUntil);
      trustUntil = Math.max(trustUntil, contactAt + MAX_REPLICA_LEASE_TRUST_MS);
      if (this.mayHoldLease(group, proxy, now)) isComplete = false;
    }
    const unconfirmed = { knownVersion, trustUntil };
    return { isComplete, isConfirmedByAll, acknowledged, unconfirmed };
  }

  private mayHoldLease(group: string, proxy: ProxyEntry, now: number): boolean {
    const until = this.leasedUntil.get(leaseKey(group, proxy)) ?? -Infinity;
    return now < Math.max(until, this.formerLeasesUntil);
  }
}

function incarnationKey(proxy: ProxyEntry): string {
  return `${proxy.id}\n${proxy.incarnation}`;
}

function leaseKey(group: string, proxy: ProxyEntry): string {
  return `${group}\n${incarnationKey(proxy)}`;
}
