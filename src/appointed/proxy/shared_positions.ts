/**
 * Positions of primaries that proxies share through control. A proxy that gets replies from a primary reports its position;
 * one that reads from replicas without such replies uses positions reported by other proxies.
 *
 * Times are exchanged without assuming synchronised clocks. A reply of the leader contains the leader's clock, so an event
 * on this process after the reply is later than that reading by at least the time that passed here. Conversely, a position
 * whose age the leader reports was requested no earlier than that age before the sync request was sent. Both errors make
 * positions seem older than they are, which is safe. See docs/design/reads-at-scale.md.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Position, PrimaryPosition } from '../../positions/position.js';

/** Older positions are not reported, because other proxies need recent ones. */
const MAX_REPORTED_AGE_MS = 1000;
/** Positions are requested for groups with a read within this time. */
const RECENT_READ_MS = 3000;
/** No positions are requested for a group whose primary answered this proxy within this time. */
const OWN_POSITION_FRESHNESS_MS = 400;

/** A position received from control, with its request time on this process's clock. */
interface SharedPosition {
  readonly group: string;
  readonly position: Position;
  readonly askedAt: number;
}

export class SharedPositions {
  private readonly own = new Map<string, PrimaryPosition>();
  private readonly unreported = new Set<string>();
  private readonly readAt = new Map<string, number>();
  /** Term of the leader whose clock is known; 0 if none is. */
  private term = 0;
  private leaderClockMs = 0;
  private leaderClockReadAt = 0;

  /** Records the position in the reply of a trusted primary to a request that was sent at `askedAt`. */
  recordOwn(group: string, epoch: number, askedAt: number, position: Position): void {
    const known = this.own.get(group);
    if (known && known.epoch === epoch && known.askedAt >= askedAt) return;
    this.own.set(group, { epoch, position, askedAt });
    this.unreported.add(group);
  }

  /** Records a read that replicas may serve. */
  recordRead(group: string, now: number): void {
    this.readAt.set(group, now);
  }

  /** Whether positions of other proxies are needed now. */
  needsSharedPositions(now: number): boolean {
    for (const [group, readAt] of this.readAt) {
      if (now - readAt > RECENT_READ_MS) this.readAt.delete(group);
      else if (now - (this.own.get(group)?.askedAt ?? -Infinity) > OWN_POSITION_FRESHNESS_MS)
        return true;
    }
    return false;
  }

  /** Term of the leader whose clock the times in reports refer to. */
  get clockTerm(): number {
    return this.term;
  }

  /** Positions that were not reported yet; empty until the leader's clock is known. */
  takeReports(now: number): readonly whinyoke.IPositionReport[] {
    if (this.term === 0) return [];
    const reports: whinyoke.IPositionReport[] = [];
    for (const group of this.unreported) {
      const { epoch, position, askedAt } = this.own.get(group)!;
      if (now - askedAt > MAX_REPORTED_AGE_MS) continue;
      const leaderTime = this.leaderClockMs + askedAt - this.leaderClockReadAt;
      if (leaderTime < 0) continue;
      reports.push({ group, epoch, position, askedAt: Math.floor(leaderTime) });
    }
    this.unreported.clear();
    return reports;
  }

  /** Records the leader's clock from a reply that arrived at `now`. */
  recordLeaderClock(reply: whinyoke.ISyncReply, now: number): void {
    this.term = reply.term ?? 0;
    this.leaderClockMs = reply.clockMs ?? 0;
    this.leaderClockReadAt = now;
  }
}

/** Positions in the reply to a request that was sent at `sentAt`; `groups` are the groups of its catalog, ordered by name. */
export function sharedPositionsOf(
  reply: whinyoke.ISyncReply,
  groups: readonly string[],
  sentAt: number,
): readonly SharedPosition[] {
  const { terms, sequences, agesMs } = reply.positions ?? {};
  if (!terms || !sequences || !agesMs || terms.length !== groups.length) return [];
  const shared: SharedPosition[] = [];
  for (const [index, group] of groups.entries()) {
    const ageMs = agesMs[index]!;
    if (ageMs === 0) continue;
    const position = { term: terms[index]!, sequence: sequences[index]! };
    shared.push({ group, position, askedAt: sentAt - ageMs });
  }
  return shared;
}
