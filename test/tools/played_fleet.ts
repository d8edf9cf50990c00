/**
 * A leader's ledger, the log that holds its floors, and issuers that use what they were granted as badly as they may: for
 * tests of the bound on the operations of one tenant.
 */
import {
  LEADER_OVERLAP_MS,
  RESERVE_LIFE_MS,
  WAITING_ALLOWANCE_MS,
} from '../../src/appointed/tenancy/operation_budget.js';
import {
  type Allowance,
  type AllowanceDemand,
  OperationLedger,
} from '../../src/appointed/tenancy/operation_ledger.js';
import type { OperationLimit } from '../../src/appointed/tenancy/tenant.js';

/** Rules of the played deployment. */
export const RULES = { windowMs: 5000, overage: 0.1, tolerance: 20 };
/** Issuers of one played fleet. */
export const PROXIES = 5;

/** The replicated floor of one tenant, and a leader that writes it. */
export class PlayedLeader {
  /** The ledger under test. */
  readonly ledger: OperationLedger;
  /** Runs that told what they hold. */
  readonly told = new Set<number>();

  constructor(
    private readonly log: Map<string, number>,
    readonly begunAt: number,
  ) {
    this.ledger = new OperationLedger(RULES, (tenant) => log.get(tenant));
    this.ledger.begin(begunAt);
  }

  /** Answers as the service does; a change of the floor that is not committed is as if it had not been tried. */
  answer(
    proxy: number,
    limit: OperationLimit,
    demand: AllowanceDemand,
    now: number,
    commits: boolean,
  ): Allowance {
    if (this.ledger.needsLowerSuccessorReserve('ana', limit, demand.waiting, now))
      this.write(commits);
    const allowance = this.ledger.answer(`p${proxy}`, 'ana', limit, demand, now);
    this.write(commits);
    return allowance;
  }

  /** A run told what it holds. */
  noteTold(proxy: number): void {
    this.told.add(proxy);
    if (this.told.size === PROXIES) this.ledger.noteAllKnown();
  }

  private write(commits: boolean): void {
    const changes = this.ledger.takeSuccessorReserveChanges();
    if (!commits) return;
    for (const { tenant, operations } of changes) this.log.set(tenant, operations);
    this.ledger.noteCommitted(changes);
  }
}

/** What one issuer may hold. */
interface PlayedReserve {
  readonly count: number;
  readonly most: number;
  readonly rate: number;
  readonly at: number;
  readonly until: number;
}

const NOTHING_HELD: PlayedReserve = { count: 0, most: 0, rate: 0, at: 0, until: 0 };

/** One request of an issuer, and how it uses what it has. */
export interface PlayedStep {
  readonly proxy: number;
  readonly waiting: number;
  readonly wantedReserve: number;
  readonly wantedRate: number;
  /** All that it holds after the answer is used at once. */
  readonly isSpent: boolean;
  /** All that its leased rate brought since its last request was used as it came. */
  readonly isUsedUp: boolean;
  readonly asksFormer: boolean;
  readonly isReplyLost: boolean;
  readonly commits: boolean;
}

/** Issuers, leaders, and when operations ran. */
export class PlayedFleet {
  /** Time of the fleet, in milliseconds. */
  now = 10_000;
  private runs: number[] = [];
  private readonly reserves = new Map<number, PlayedReserve>();
  private readonly log = new Map<string, number>();
  private leader = new PlayedLeader(this.log, this.now);
  private former: PlayedLeader | undefined;

  constructor(private readonly limit: OperationLimit) {}

  /** Another machine leads; the former one goes on for a moment. */
  elect(): void {
    this.former = this.leader;
    this.leader = new PlayedLeader(this.log, this.now);
  }

  /** All processes end, and start anew at once; a leader is there some time later. */
  losePower(forMs: number): void {
    const lostAt = this.now;
    this.now += forMs;
    this.elect();
    this.former = undefined;
    this.reserves.clear();
    this.runs = this.runs.map((ranAt) => Math.min(ranAt, lostAt));
    for (let each = 0; each < PROXIES; each++) this.leader.noteTold(each);
    this.leader.ledger.noteOnlyOwnSince(lostAt);
  }

  /** An issuer asks, and uses what it has. */
  ask(step: PlayedStep): void {
    const { now, limit, leader } = this;
    const { proxy, waiting, wantedReserve, wantedRate } = step;
    const own = this.useRate(proxy, step.isUsedUp);
    const available = availableOf(own, now);
    const held = Math.min(Math.ceil(available), wantedReserve);
    const heldRate = Math.min(own.until > now ? own.rate : 0, wantedRate);
    const returned = Math.max(0, Math.floor(available - held));
    const heldMost = heldRate > 0 ? Math.max(held, Math.min(own.most, wantedReserve)) : held;
    const rates = { heldRate, wantedRate, heldMost };
    const demand = { waiting, returned, held, wantedReserve, ...rates };
    const asked = this.askedBy(step);
    if (asked === leader) leader.noteTold(proxy);
    const answer = asked.answer(proxy, limit, demand, now, step.commits && asked === leader);
    const kept = { count: Math.min(available, held), most: heldMost, rate: heldRate, at: now };
    if (step.isReplyLost) {
      this.reserves.set(proxy, { ...kept, until: own.until });
      return;
    }
    this.run(answer.granted);
    const count = kept.count + answer.added;
    const spent = step.isSpent ? Math.floor(count) : 0;
    this.run(spent);
    const lease = { rate: answer.rate, at: now, until: now + RESERVE_LIFE_MS };
    this.reserves.set(proxy, { count: count - spent, most: answer.most, ...lease });
  }

  /** An issuer that reaches no leader uses all that it has. */
  spend(proxy: number): void {
    const own = this.useRate(proxy, true);
    const count = Math.floor(availableOf(own, this.now));
    this.run(count);
    this.reserves.set(proxy, { ...own, count: own.count - count, at: this.now });
  }

  /** Whether some window holds more operations than it may. */
  get exceedsLimit(): boolean {
    const { ratePerSecond, burst } = this.limit;
    const perWindow = (ratePerSecond * RULES.windowMs) / 1000 + burst;
    const most = perWindow * (1 + RULES.overage) + RULES.tolerance;
    const times = this.runs.sort((left, right) => left - right);
    return times.some((begin, index) => {
      const end = times.findLastIndex((time) => time < begin + RULES.windowMs);
      return end - index + 1 > most;
    });
  }

  /** A former leader goes on for a moment, but commits nothing, and nobody who told the new one asks it. */
  private askedBy({ proxy, asksFormer }: PlayedStep): PlayedLeader {
    const { leader, former, now } = this;
    const mayAskFormer = now - leader.begunAt < LEADER_OVERLAP_MS && !leader.told.has(proxy);
    return asksFormer && mayAskFormer && former ? former : leader;
  }

  /** Operations run at once, or as late as those may that were granted to requests that wait. */
  private run(count: number): void {
    for (let index = 0; index < count; index++) {
      this.runs.push(this.now + (index % 2) * WAITING_ALLOWANCE_MS);
    }
  }

  private useRate(proxy: number, isUsedUp: boolean): PlayedReserve {
    const own = this.reserves.get(proxy) ?? NOTHING_HELD;
    if (!isUsedUp) return own;
    const usedMs = Math.max(0, Math.min(this.now, own.until) - own.at);
    const count = own.most < 1 ? 0 : Math.floor((own.rate * usedMs) / 1000);
    for (let index = 1; index <= count; index++) this.runs.push(own.at + (index * 1000) / own.rate);
    return { ...own, at: this.now };
  }
}

function availableOf({ count, most, rate, at, until }: PlayedReserve, now: number): number {
  return now < until ? Math.min(most, count + (rate * (now - at)) / 1000) : 0;
}
