/**
 * DECISION: when all leases on a primary have ended.
 *
 * Answers: a change of primary, in which no proxy may still use the old one.
 * Inputs: leases granted to each run of a proxy, confirmations of proxies with what they had acknowledged, the registered
 *   proxies, and when this leadership began (milliseconds on the leader's clock).
 * Rule: a proxy holds no lease once it confirmed the present epoch, or once its newest lease has ended; a new leader counts
 *   leases of former leaders until LEASE_MS and STALE_LEADER_MS after it began. Errs towards longer leases: a proxy counts
 *   from when it sent its request, the ledger from when it answered.
 * Constants: `src/appointed/leases/lease_times.ts`.
 *
 * Owns the account of one leader, in memory. Relies on the proxies, which may be silent: their leases end by time then.
 */
import type { ProxyEntry } from '../catalog/catalog.js';
import { type Position, START, latest } from '../../positions/position.js';
import { positionOf } from '../../positions/position_message.js';
import type { whinyoke } from '../../protocol/generated/messages.js';
import { MAX_REPLICA_LEASE_TRUST_MS, type UnconfirmedProxies } from './appointment_fence.js';

/** What is known of the end of an epoch's leases. */
export interface RevocationState {
  /** Whether no proxy trusts an earlier epoch any more. */
  readonly isComplete: boolean;
  /** Whether every registered proxy said so itself, with what it had acknowledged. */
  readonly isConfirmedByAll: boolean;
  /** Highest position that a proxy named. */
  readonly acknowledged: Position | undefined;
  /** The registered proxies that did not say so. */
  readonly unconfirmed: UnconfirmedProxies;
}

/** The newest request of a run of a proxy. */
interface Contact {
  readonly receivedAt: number;
  readonly knownVersion: number;
}

interface Confirmation {
  readonly incarnation: string;
  readonly epoch: number;
  readonly position: Position | undefined;
}

/** Ledger of one leader. */
export class LeaseLedger {
  private readonly leasedUntil = new Map<string, number>();
  private readonly confirmations = new Map<string, Confirmation>();
  private readonly contacts = new Map<string, Contact>();
  private formerLeasesUntil = -Infinity;
  private leadingSince = -Infinity;

  /** Begins a leadership at `now`: earlier leaders may have granted leases until `until`. */
  beginLeadership(until: number, now: number): void {
    this.leasedUntil.clear();
    this.confirmations.clear();
    this.contacts.clear();
    this.formerLeasesUntil = until;
    this.leadingSince = now;
  }

  /** A proxy that knows the catalog up to a version sent a request. */
  recordContact(proxy: ProxyEntry, knownVersion: number, now: number): void {
    this.contacts.set(incarnationKey(proxy), { receivedAt: now, knownVersion });
  }

  /** A proxy gets a lease on the present epoch of a group. */
  grant(group: string, proxy: ProxyEntry, until: number): void {
    this.leasedUntil.set(leaseKey(group, proxy), until);
  }

  /** A proxy confirms that it trusts no epoch of the group before `epoch`. */
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
      const contact = this.contacts.get(incarnationKey(proxy)) ?? {
        receivedAt: this.leadingSince,
        knownVersion: 0,
      };
      knownVersion = Math.min(knownVersion, contact.knownVersion);
      trustUntil = Math.max(trustUntil, contact.receivedAt + MAX_REPLICA_LEASE_TRUST_MS);
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
