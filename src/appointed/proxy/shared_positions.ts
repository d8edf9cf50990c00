/**
 * Positions of primaries that proxies share through control. A proxy that hears from a primary reports what it told; one
 * that reads from replicas without hearing from their primary takes what others reported.
 *
 * Times travel without comparing two clocks. A reply of the leader carries the leader's clock: whatever happened on this
 * process after the reply arrived is later than that reading by at least as much as passed here. The other way round, a
 * position whose age the leader tells was asked no earlier than that age before the request was sent. Both err towards
 * positions that seem older than they are. See docs/design/reads-at-scale.md.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import type { Position, PrimaryPosition } from '../../positions/position.js';

/** Positions that are older are not reported, in milliseconds: others need young ones. */
const MAX_REPORTED_AGE_MS = 1000;
/** Positions are wanted for groups with a read within this time, in milliseconds. */
const RECENT_READ_MS = 3000;
/** A group whose primary was heard within this time needs nothing of others, in milliseconds. */
const OWN_POSITION_FRESHNESS_MS = 400;

/** A position that control told, with its time on this process's clock. */
interface SharedPosition {
  readonly group: string;
  readonly position: Position;
  readonly askedAt: number;
}

/** Part of one proxy. */
export class SharedPositions {
  private readonly own = new Map<string, PrimaryPosition>();
  private readonly unreported = new Set<string>();
  private readonly readAt = new Map<string, number>();
  /** Term of the leader whose clock is known; 0 when none is. */
  private term = 0;
  private leaderClockMs = 0;
  private leaderClockReadAt = 0;

  /** Notes what a trusted primary told to a request that was sent at `askedAt`. */
  recordOwn(group: string, epoch: number, askedAt: number, position: Position): void {
    const known = this.own.get(group);
    if (known && known.epoch === epoch && known.askedAt >= askedAt) return;
    this.own.set(group, { epoch, position, askedAt });
    this.unreported.add(group);
  }

  /** Notes a read that replicas may serve. */
  recordRead(group: string, now: number): void {
    this.readAt.set(group, now);
  }

  /** Whether positions of other proxies are wanted now. */
  needsSharedPositions(now: number): boolean {
    for (const [group, readAt] of this.readAt) {
      if (now - readAt > RECENT_READ_MS) this.readAt.delete(group);
      else if (now - (this.own.get(group)?.askedAt ?? -Infinity) > OWN_POSITION_FRESHNESS_MS)
        return true;
    }
    return false;
  }

  /** Term of the leader on whose clock reports are told. */
  get clockTerm(): number {
    return this.term;
  }

  /** Positions that were not reported yet; empty before a reply told the leader's clock. */
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

  /** Takes over the leader's clock from a reply that arrived at `now`. */
  recordLeaderClock(reply: whinyoke.ISyncReply, now: number): void {
    this.term = reply.term ?? 0;
    this.leaderClockMs = reply.clockMs ?? 0;
    this.leaderClockReadAt = now;
  }
}

/** Positions of a reply to a request that was sent at `sentAt`; `groups` are those of the reply's catalog, by name. */
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
