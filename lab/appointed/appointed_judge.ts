/**
 * Checks of a simulated history, made while it runs from what instances ran and what callers were told. Knows
 * nothing of the code under test.
 */
import type { CallerErrorKind } from '../../src/appointed/sessions/caller_reply.js';
import type { DataStatement, PreparedShape } from '../../src/appointed/instance/statement.js';
import type { ResidencyOfDeployment } from './appointed_deployment.js';
import { MILLISECONDS_PER_SECOND } from '../../src/runtime/duration.js';
import { maxColdInstanceRequests } from '../../src/appointed/placement/slow_start_budget.js';
import type { AppointedDeployment } from './appointed_deployment.js';
import type { SimulatedTenancy } from './simulated_tenancy.js';
import type {
  CommitReport,
  EmulatedInstance,
  EmulatedSession,
  InstanceJournal,
  LogRecord,
  RunReport,
} from './emulated_instance.js';

/** Checks, by what is broken. */
export type ViolationKind =
  | 'foreign-answer'
  | 'unasked'
  | 'false-restart'
  | 'pinned'
  | 'twice'
  | 'refused-but-kept'
  | 'stale'
  | 'lost'
  | 'replaced-primary'
  | 'drain'
  | 'evacuation'
  | 'configuration'
  | 'shared-fence'
  | 'tenant'
  | 'quota'
  | 'homes'
  | 'slow-start'
  | 'cut-off'
  | 'recovery';

/** A broken promise. */
export interface AppointedViolation {
  readonly kind: ViolationKind;
  readonly at: number;
  readonly detail: string;
}

/** What a caller has been told so far, when it sends a request. */
export interface CallerExpectation {
  readonly group: string;
  readonly values: ReadonlyMap<string, string>;
  /** Shape that it executes; undefined for a statement that is sent as text. */
  readonly prepared: PreparedShape | undefined;
  /** Argument of its statement; not checked if left out. */
  readonly argument?: string;
  /** Whether it asks for a commit and for nothing else. */
  readonly isCommit?: boolean;
  /** Name of the operation that a transaction belongs to; undefined outside a transaction. */
  readonly transaction: string | undefined;
  /** Credential that the caller named; undefined where it needs none. */
  readonly credential?: string;
  /** When the caller sends it. */
  readonly sentAt?: number;
}

/** An operation of a tenant that ran. */
interface TenantRun {
  readonly sentAt: number;
  readonly ranAt: number;
}

/** A read whose answer reached its caller. */
export interface ReadCheck {
  readonly id: string;
  readonly rows: readonly string[];
  readonly signature: string;
  /** Acknowledged commits older than this must be seen. */
  readonly mustSeeUntil: number;
  /** Session whose own commits must be seen. */
  readonly ownSession: string | undefined;
}

interface RunRecord {
  readonly report: RunReport;
  readonly log: readonly LogRecord[];
  /** Length of the applied prefix of the log when the statement ran. */
  readonly appliedLength: number;
}

interface AcknowledgedCommit {
  readonly at: number;
  readonly group: string;
  readonly session: string;
  readonly request: string;
}

interface Leadership {
  readonly at: number;
  /** Log of the incarnation that leads; it appends to it, and one that starts again begins another. */
  readonly log: readonly LogRecord[];
  readonly requests: ReadonlySet<string>;
}

const DRAIN_LIMIT_MS = 7000;
/** From the acknowledgement of an evacuation until nothing may reach the zone, in milliseconds. */
const EVACUATION_LIMIT_MS = 5000;
/** Bounds hold for proxies that were undisturbed for this long, in milliseconds. */
const CONTACT_MS = 5000;

/** Judge of one simulation. */
export class AppointedJudge implements InstanceJournal {
  readonly violations: AppointedViolation[] = [];
  readonly counts = {
    runs: 0,
    acknowledged: 0,
    reads: 0,
    appointments: 0,
    refused: 0,
    inDoubt: 0,
    servedWhileStopping: 0,
  };
  readonly acknowledgedByGroup = new Map<string, number>();
  /** When callers were last told of a success, by group. */
  readonly lastAcknowledgedAt = new Map<string, number>();
  private readonly expectations = new Map<string, CallerExpectation>();
  private readonly runs = new Map<string, RunRecord[]>();
  /** Signatures of the commits that ran for a request. */
  private readonly commits = new Map<string, string[]>();
  private readonly acknowledged: AcknowledgedCommit[] = [];
  private readonly recordOf = new Map<string, LogRecord>();
  private readonly refused = new Set<string>();
  private readonly leaderships = new Map<string, Leadership>();
  private readonly connectionOfTransaction = new Map<string, EmulatedSession>();
  private readonly transactionOfSession = new Map<EmulatedSession, string>();
  private readonly leavingSince = new Map<string, number>();
  private readonly evacuatedSince = new Map<string, number>();
  private disturbances = 0;
  private disturbedUntil = -Infinity;
  private readonly fences = new Map<number, string>();
  private highestFence = 0;
  private readonly runsOfTenant = new Map<string, TenantRun[]>();
  private readonly countedTransactions = new Set<string>();
  /** Tenants of the run; undefined where callers need no credential. */
  tenancy: SimulatedTenancy | undefined;
  /** What is bound to regions; undefined where nothing is. */
  residency: ResidencyOfDeployment | undefined;

  /** Slow start of the instances; undefined where they are warm at once. */
  slowStart: AppointedDeployment['slowStart'];
  /** Whether an instance is cold, and all proxies that run know it. */
  isCold: (instance: string) => boolean = () => false;
  /** Since when that is so. */
  private readonly coldFrom = new Map<string, number>();
  /** When requests were sent that have reached each cold instance. */
  private readonly arrivals = new Map<string, readonly number[]>();

  constructor(private readonly now: () => number) {}

  /** A caller sends a request. */
  expect(id: string, expectation: CallerExpectation): void {
    this.expectations.set(id, expectation);
  }

  /** A request has reached an instance. A cold one must not get more than its rate that were sent and arrived in one second. */
  onArrival({ options: { id } }: EmulatedInstance, sentAt: number): void {
    if (!this.slowStart || !this.isCold(id)) {
      this.coldFrom.delete(id);
      return;
    }
    const now = this.now();
    // Before its first request an instance was never warm.
    const coldFrom = this.coldFrom.get(id) ?? (this.arrivals.has(id) ? now : 0);
    this.coldFrom.set(id, coldFrom);
    const oldest = Math.max(now - MILLISECONDS_PER_SECOND, coldFrom);
    const recent = [...(this.arrivals.get(id) ?? []), sentAt].filter((time) => time > oldest);
    this.arrivals.set(id, recent);
    const most = maxColdInstanceRequests(this.slowStart, this.slowStart);
    if (recent.length > most) this.add('slow-start', `${id} got ${recent.length} of ${most}`);
  }

  onRun(report: RunReport): void {
    this.counts.runs++;
    const { storage, appliedLength } = report.instance;
    const records = this.runs.get(report.id) ?? [];
    records.push({ report, log: storage.log, appliedLength });
    this.runs.set(report.id, records);
    this.checkSession(report);
    this.checkDrain(report);
    this.checkEvacuation(report);
    this.checkTenant(report);
    this.checkHomes(report);
  }

  onCommit(report: CommitReport): void {
    const { id, signature } = report;
    this.commits.set(id, [...(this.commits.get(id) ?? []), signature]);
    const expected = this.expectations.get(id);
    if (!expected?.isCommit) this.add('unasked', `${id} asked for no commit`);
    const transaction = expected?.transaction;
    this.checkConnection(report.session, transaction, report.id);
    this.transactionOfSession.delete(report.session);
  }

  onAppended(record: LogRecord): void {
    for (const request of record.requests) this.recordOf.set(request, record);
  }

  /**
   * A caller was told that a write or a commit succeeded.
   * @param home - group of the caller's route, unless that has moved
   */
  onAcknowledged(home: string, session: string, requests: readonly string[]): void {
    const group = this.groupOf(requests[0]) ?? home;
    const leadership = this.leaderships.get(group);
    this.acknowledgedByGroup.set(group, (this.acknowledgedByGroup.get(group) ?? 0) + 1);
    this.lastAcknowledgedAt.set(group, this.now());
    for (const request of requests) {
      this.counts.acknowledged++;
      this.acknowledged.push({ at: this.now(), group, session, request });
      const isKept = leadership === undefined || this.isInLeadersLog(leadership, request);
      if (!isKept) this.add('replaced-primary', `${request} of ${group} is not in the new log`);
    }
  }

  /** A caller was told that nothing of the requests is kept. */
  onRefused(kind: CallerErrorKind, requests: readonly string[]): void {
    this.counts.refused++;
    if (kind === 'inDoubt') return;
    for (const request of requests) this.refused.add(request);
  }

  /** A caller was told that the outcome is unknown. */
  onInDoubt(): void {
    this.counts.inDoubt++;
  }

  /** A caller got an answer without an error from a proxy that stops. */
  onServedWhileStopping(): void {
    this.counts.servedWhileStopping++;
  }

  /** A planned stop ended the connection of a message that the proxy had read and not wholly answered. */
  onCutOff(message: string): void {
    this.add('cut-off', message);
  }

  /** A caller was told that a write or a commit succeeded: it must get the answer of its own run. */
  onSigned(id: string, signature: string, rows: readonly string[]): void {
    const runs = this.runs.get(id) ?? [];
    const isOfRun = runs.some(({ report }) => report.signature === signature);
    const isOwn = isOfRun || this.commits.get(id)?.includes(signature) === true;
    if (!isOwn || rows.length > 0) this.add('foreign-answer', `${id} got ${signature}`);
  }

  /** A caller got the answer to a read. */
  onRead(read: ReadCheck): void {
    this.counts.reads++;
    const records = this.runs.get(read.id) ?? [];
    const run = records.find((record) => record.report.signature === read.signature);
    const isOwnAnswer = run && run.report.rows.join() === read.rows.join();
    if (!isOwnAnswer) {
      this.add('foreign-answer', `${read.id} got ${read.rows.join()}`);
      return;
    }
    this.checkFreshness(read, run);
  }

  /** An instance leads from now on. */
  onAppointed(instance: EmulatedInstance): void {
    const { group } = instance.options;
    this.counts.appointments++;
    const requests = new Set(instance.storage.log.flatMap((record) => record.requests));
    for (const commit of this.acknowledged) {
      if (commit.group !== group || requests.has(commit.request)) continue;
      this.add('lost', `${commit.request} of ${group} is not in the log of ${instance.options.id}`);
    }
    this.leaderships.set(group, { at: this.now(), log: instance.storage.log, requests });
  }

  /** A call to the platform was sent under a fencing token; a late delivery is no sending. */
  onCallSent(holder: string, token: number): void {
    const known = this.fences.get(token);
    if (known !== undefined && known !== holder) {
      this.add('shared-fence', `${holder} and ${known} used token ${token}`);
    }
    if (token < this.highestFence) {
      this.add('shared-fence', `${holder} used ${token} after ${this.highestFence}`);
    }
    this.fences.set(token, holder);
    this.highestFence = Math.max(this.highestFence, token);
  }

  /** A control machine acknowledged that an instance leaves. */
  onLeaving(instance: string): void {
    this.leavingSince.set(instance, this.now());
  }

  /** An instance that was to leave stays. */
  onStays(instance: string): void {
    this.leavingSince.delete(instance);
  }

  /** A control machine acknowledged the evacuation of a zone. */
  onEvacuated(zone: string): void {
    this.evacuatedSince.set(zone, this.now());
  }

  /** The operator takes an evacuation back. */
  onReadmitted(zone: string): void {
    this.evacuatedSince.delete(zone);
  }

  /** A fault that may keep proxies from control begins (1) or ends (-1). */
  onDisturbed(change: 1 | -1): void {
    this.disturbances += change;
    this.disturbedUntil = this.now();
  }

  /** Notes a broken promise that another part found. */
  add(kind: ViolationKind, detail: string): void {
    this.violations.push({ kind, at: Math.round(this.now()), detail });
  }

  /** Final checks against the log of the group's last leader. */
  finish(group: string, log: readonly LogRecord[]): void {
    const counts = new Map<string, number>();
    for (const request of log.flatMap((record) => record.requests)) {
      counts.set(request, (counts.get(request) ?? 0) + 1);
    }
    for (const [request, count] of counts) {
      if (count > 1) this.add('twice', `${request} of ${group} is kept ${count} times`);
      if (this.refused.has(request)) this.add('refused-but-kept', `${request} of ${group}`);
    }
    for (const commit of this.acknowledged) {
      if (commit.group === group && !counts.has(commit.request)) {
        this.add('lost', `${commit.request} of ${group} is not in the final log`);
      }
    }
  }

  /** Checks that no tenant ran more than its limit in any window. */
  checkQuotas(): void {
    const { tenancy } = this;
    if (!tenancy) return;
    for (const [tenant, runs] of this.runsOfTenant) {
      const most = tenancy.mostInWindow(tenant);
      const count = mostInAnyWindow(runs, tenancy.options.quotaRules.windowMs);
      if (count > most) this.add('quota', `${tenant} ran ${count} of ${most} in one window`);
    }
  }

  private checkTenant({ id, session }: RunReport): void {
    const expected = this.expectations.get(id);
    if (!this.tenancy || expected?.credential === undefined) return;
    const { credential, sentAt = 0, transaction } = expected;
    if (!this.tenancy.allows(session.tenant, credential, sentAt)) {
      this.add('tenant', `${id} ran for '${session.tenant}' with ${credential}`);
    }
    // An operation is a single statement or a whole transaction.
    if (transaction !== undefined && this.countedTransactions.has(transaction)) return;
    if (transaction !== undefined) this.countedTransactions.add(transaction);
    const runs = this.runsOfTenant.get(session.tenant) ?? [];
    runs.push({ sentAt, ranAt: this.now() });
    this.runsOfTenant.set(session.tenant, runs);
  }

  private checkHomes({ id, instance }: RunReport): void {
    const { residency } = this;
    if (!residency || instance.options.group !== residency.group) return;
    const region = residency.regionByZone.get(instance.options.zone);
    if (region === undefined || !residency.homes.has(region)) {
      this.add('homes', `${id} ran on ${instance.options.id} in ${region}`);
    }
  }

  /** Group whose instance ran a request; undefined if none did. */
  private groupOf(request: string | undefined): string | undefined {
    const [run] = this.runs.get(request ?? '') ?? [];
    return run?.report.instance.options.group;
  }

  /** Whether the first `length` records of a log hold a request. Sequence numbers begin with 1. */
  private holds(log: readonly LogRecord[], length: number, request: string): boolean {
    const record = this.recordOf.get(request);
    const index = (record?.position.sequence ?? 0) - 1;
    return record !== undefined && index < length && log[index] === record;
  }

  private isInLeadersLog(leadership: Leadership, request: string): boolean {
    const { log } = leadership;
    return this.holds(log, log.length, request);
  }

  private checkSession(report: RunReport): void {
    const expected = this.expectations.get(report.id);
    if (!expected) {
      this.add('unasked', `${report.id} was never sent by a caller`);
      return;
    }
    const { session, statement } = report;
    const differs =
      expected.values.size !== session.values.size ||
      [...expected.values].some(([name, value]) => session.values.get(name) !== value);
    if (differs) this.add('pinned', `${report.id} ran with other session values`);
    this.checkText(report.id, statement, expected);
    this.checkConnection(session, expected.transaction, report.id);
  }

  private checkText(id: string, statement: DataStatement, expected: CallerExpectation): void {
    if (expected.isCommit) {
      this.add('unasked', `${id} asked for a commit and ran a statement`);
      return;
    }
    const prepared = statement.kind === 'execute' ? statement.prepared : undefined;
    const isShape =
      prepared?.shape === expected.prepared?.shape &&
      prepared?.access === expected.prepared?.access;
    if (!isShape) this.add('pinned', `${id} ran shape ${prepared?.shape}`);
    if (expected.argument !== undefined && statement.argument !== expected.argument) {
      this.add('unasked', `${id} ran with the argument ${statement.argument}`);
    }
  }

  private checkConnection(
    session: EmulatedSession,
    transaction: string | undefined,
    id: string,
  ): void {
    const isOpen = session.state === 'open' || this.transactionOfSession.has(session);
    if (transaction === undefined) {
      if (session.state === 'open') this.add('pinned', `${id} ran inside a transaction`);
      return;
    }
    const first = this.connectionOfTransaction.get(transaction);
    if (!first) {
      this.connectionOfTransaction.set(transaction, session);
      this.transactionOfSession.set(session, transaction);
      return;
    }
    if (first !== session)
      this.add('pinned', `${id} ran on another connection than ${transaction}`);
    if (!isOpen) this.add('pinned', `${id} ran outside ${transaction}`);
    const current = this.transactionOfSession.get(session);
    if (first === session && current !== undefined && current !== transaction) {
      this.add('pinned', `${id} of ${transaction} ran inside ${current}`);
    }
  }

  private checkDrain(report: RunReport): void {
    const since = this.leavingSince.get(report.instance.options.id);
    if (since === undefined || this.now() - since <= DRAIN_LIMIT_MS) return;
    const isFirst = !this.transactionOfSession.has(report.session);
    if (isFirst) this.add('drain', `${report.id} reached ${report.instance.options.id}`);
  }

  private checkEvacuation({ id, instance }: RunReport): void {
    const { zone, id: name } = instance.options;
    const isInTouch = this.disturbances === 0 && this.now() - this.disturbedUntil > CONTACT_MS;
    const ageMs = this.now() - (this.evacuatedSince.get(zone) ?? Infinity);
    if (isInTouch && ageMs > EVACUATION_LIMIT_MS) {
      this.add('evacuation', `${id} reached ${name} after ${Math.round(ageMs)} ms`);
    }
  }

  private checkFreshness(read: ReadCheck, run: RunRecord): void {
    const { group } = run.report.instance.options;
    for (const commit of this.acknowledged) {
      const isOwn = read.ownSession === commit.session;
      const isDue = commit.group === group && (commit.at <= read.mustSeeUntil || isOwn);
      if (isDue && !this.holds(run.log, run.appliedLength, commit.request)) {
        const where = run.report.instance.options.id;
        this.add('stale', `${read.id} on ${where} lacks ${commit.request}`);
        return;
      }
    }
  }
}

/** Most operations that were both sent and run in one window; `runs` are in the order in which they ran. */
function mostInAnyWindow(runs: readonly TenantRun[], windowMs: number): number {
  let most = 0;
  for (const [index, last] of runs.entries()) {
    const begin = last.ranAt - windowMs;
    let count = 0;
    for (let place = index; place >= 0 && runs[place]!.ranAt >= begin; place--) {
      if (runs[place]!.sentAt >= begin) count++;
    }
    most = Math.max(most, count);
  }
  return most;
}
