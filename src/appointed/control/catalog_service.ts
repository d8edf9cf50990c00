/**
 * Changes and reads of the catalog on behalf of operators and instances. Any control machine takes them;
 * one that does not lead forwards them to the leader. An answer is given only once a majority has the
 * change on disk.
 *
 * Owns nothing. Relies on the leader and on a majority: without either the sender gets UNAVAILABLE, a line is logged, and it
 * asks again.
 */
import type { AddressClaims, ClaimOutcome } from './address_claim.js';
import type { Catalog, InstanceEntry } from '../catalog/catalog.js';
import { type EntryOrder, classifyEntry } from '../catalog/incarnation_order.js';
import type { RaftNode } from '../../consensus/raft_node.js';
import { messageOf } from '../../errors/errors.js';
import type { Proposer } from '../failover/appointment_lease.js';
import type { InstanceMonitor } from '../failover/instance_monitor.js';
import { Events } from '../../observability/events.js';
import { whinyoke } from '../../protocol/generated/messages.js';
import type { DecisionLog } from '../../observability/decision_logger.js';
import { type ReportedColdState, WarmUpMonitor } from './warm_up_monitor.js';
import type { Clock, Messenger } from '../../runtime/runtime.js';

const { CatalogOutcome, InstanceState } = whinyoke;

/** Time for the leader to answer a request that was forwarded to it, in milliseconds. A guess, not measured. */
const FORWARD_TIMEOUT_MS = 900;
const UNAVAILABLE_REPLY: whinyoke.ICatalogReply = { outcome: CatalogOutcome.UNAVAILABLE };

/** What the service needs of its control machine. */
export interface CatalogServiceDependencies {
  /** Time and timers of this process. */
  readonly clock: Clock;
  /** The way to other processes. */
  readonly messenger: Messenger;
  /** This machine's consensus member. */
  readonly node: Pick<RaftNode, 'role' | 'isReadyLeader' | 'leaderAddress' | 'address'>;
  /** The replicated state. */
  readonly catalog: Catalog;
  /** Newest heartbeats of instances. */
  readonly monitor: InstanceMonitor;
  /** Decides on addresses that are held already. */
  readonly claims: AddressClaims;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  /** Takes log lines of decisions. */
  readonly log: DecisionLog;
}

/** Service of one control machine. */
export class CatalogService {
  private readonly warmUps: WarmUpMonitor;

  constructor(private readonly dependencies: CatalogServiceDependencies) {
    const { clock, catalog, node, log } = dependencies;
    // All machines apply the entry; the one that leads tells of it.
    const logAsLeader: DecisionLog = (event, fields) => node.isReadyLeader && log(event, fields);
    this.warmUps = new WarmUpMonitor(clock, catalog, logAsLeader);
  }

  /** Takes a request here or at the leader. */
  async submit(request: whinyoke.ICatalogRequest): Promise<whinyoke.ICatalogReply> {
    if (this.dependencies.node.role === 'leader') return this.handle(request);
    const { leaderAddress } = this.dependencies.node;
    if (leaderAddress === '' || leaderAddress === this.dependencies.node.address)
      return UNAVAILABLE_REPLY;
    try {
      const body = { catalogRequest: request };
      const answer = await this.dependencies.messenger.request(
        leaderAddress,
        body,
        FORWARD_TIMEOUT_MS,
      );
      return answer.catalogReply ?? UNAVAILABLE_REPLY;
    } catch (error) {
      this.logFailure(request, `passed on to ${leaderAddress}: ${messageOf(error)}`);
      return UNAVAILABLE_REPLY;
    }
  }

  /** Answers a request as the leader. */
  async handle(request: whinyoke.ICatalogRequest): Promise<whinyoke.ICatalogReply> {
    if (!this.dependencies.node.isReadyLeader) return UNAVAILABLE_REPLY;
    try {
      if (request.putDocument) return await this.putDocument(request.putDocument);
      if (request.beat) return await this.recordHeartbeat(request.beat);
      if (request.evacuation) return await this.putEvacuation(request.evacuation);
      return await this.readDocument();
    } catch (error) {
      this.logFailure(request, messageOf(error));
      return UNAVAILABLE_REPLY;
    }
  }

  private logFailure(request: whinyoke.ICatalogRequest, reason: string): void {
    this.dependencies.log(Events.catalogChangeFailed, {
      request: Object.keys(request)[0] ?? '',
      instance: request.beat?.instance?.id ?? '',
      version: request.putDocument?.version ?? 0,
      zone: request.evacuation?.zone ?? '',
      reason,
    });
  }

  private async putDocument(document: whinyoke.IRoutingDocument): Promise<whinyoke.ICatalogReply> {
    if ((document.version ?? 0) <= this.dependencies.catalog.documentVersion)
      await this.confirmLeadership();
    else await this.dependencies.propose({ putDocument: document });
    return { outcome: CatalogOutcome.DONE };
  }

  /**
   * An order that holds already is proposed too: the entry changes nothing, proves that this machine leads, and comes behind
   * any order on the zone that is not committed yet.
   */
  private async putEvacuation(order: whinyoke.IEvacuationOrder): Promise<whinyoke.ICatalogReply> {
    await this.dependencies.propose({ putEvacuation: order });
    return { outcome: CatalogOutcome.DONE };
  }

  private async readDocument(): Promise<whinyoke.ICatalogReply> {
    await this.confirmLeadership();
    return { outcome: CatalogOutcome.DONE, document: this.dependencies.catalog.document };
  }

  /** An empty entry that is committed proves that nobody else led in between. */
  private async confirmLeadership(): Promise<void> {
    await this.dependencies.propose({});
  }

  /** Removes other instances at an address: the one that sends heartbeats from it is the only one there. */
  private async removeFormerHolders(instance: whinyoke.IInstanceEntry): Promise<void> {
    for (const other of this.dependencies.catalog.otherInstancesAt(instance)) {
      await this.dependencies.propose({ putInstance: { ...other, state: InstanceState.GONE } });
    }
  }

  private async recordHeartbeat(
    heartbeat: whinyoke.IInstanceBeat,
  ): Promise<whinyoke.ICatalogReply> {
    const known = this.dependencies.catalog.instance(heartbeat.instance?.id ?? '');
    const instance = this.withIncarnationNumber(known, heartbeat.instance ?? {});
    const order = known ? classifyEntry(known, instance) : 'next';
    if (known && isOfFormerIncarnation(known, instance, order)) {
      this.logFormerIncarnation(known, instance, heartbeat.leaves ? 'deregister' : 'heartbeat');
      return { outcome: CatalogOutcome.DONE };
    }
    if (heartbeat.leaves) return this.recordDeregistration(known, instance, order);
    if (order === 'late' && known?.state === InstanceState.GONE)
      return { outcome: CatalogOutcome.DONE };
    if (order === 'next') {
      const claim = await this.dependencies.claims.evaluate(instance);
      if (claim !== 'granted') return this.refuseClaim(instance, claim);
    }
    this.dependencies.monitor.recordHeartbeat(heartbeat, this.dependencies.clock.now());
    const reported = { ...instance, ...this.reportedColdState({ ...heartbeat, instance }) };
    if (order !== 'late' && !isUnchanged(known, reported)) {
      await this.putInstance(known, reported);
      await this.removeFormerHolders(instance);
    }
    return { outcome: CatalogOutcome.DONE };
  }

  /** An instance leaves; one that started again after the known incarnation does so under its own number. */
  private async recordDeregistration(
    known: InstanceEntry | undefined,
    { id, born, sequence, incarnation }: whinyoke.IInstanceEntry,
    order: EntryOrder,
  ): Promise<whinyoke.ICatalogReply> {
    const left = { ...known, id, state: InstanceState.GONE };
    if (known && order === 'next')
      await this.putInstance(known, { ...left, born, sequence, incarnation });
    else if (known?.state !== InstanceState.GONE)
      await this.dependencies.propose({ putInstance: { ...left, born: born || known?.born } });
    return { outcome: CatalogOutcome.DONE };
  }

  /** An earlier `born` is that of an incarnation that follows, on a clock that was set back, where the known one has ended. */
  private withIncarnationNumber(
    known: InstanceEntry | undefined,
    instance: whinyoke.IInstanceEntry,
  ): whinyoke.IInstanceEntry {
    const isEarlier = known !== undefined && (instance.born || Infinity) < (known.born ?? 0);
    const { monitor, clock } = this.dependencies;
    if (!isEarlier || !monitor.mayHaveRestarted(instance.id ?? '', clock.now())) return instance;
    return { ...instance, incarnation: (known.incarnation ?? 0) + 1 };
  }

  private async putInstance(
    known: InstanceEntry | undefined,
    instance: whinyoke.IInstanceEntry,
  ): Promise<void> {
    await this.dependencies.propose({ putInstance: instance });
    const entry = this.dependencies.catalog.instance(instance.id ?? '');
    if (!known || !entry || entry.incarnation === known.incarnation) return;
    this.dependencies.log(Events.instanceStartedAgain, {
      instance: entry.id ?? '',
      group: entry.group ?? '',
      incarnation: entry.incarnation ?? 0,
      born: entry.born ?? 0,
      former_born: known.born ?? 0,
    });
  }

  private logFormerIncarnation(
    known: InstanceEntry,
    { born }: whinyoke.IInstanceEntry,
    message: string,
  ): void {
    this.dependencies.log(Events.formerIncarnationHeard, {
      instance: known.id ?? '',
      message,
      born: born ?? 0,
      present_born: known.born ?? 0,
    });
  }

  private reportedColdState({ instance, warmupMs }: whinyoke.IInstanceBeat): ReportedColdState {
    const reported = instance ?? {};
    const newest = this.dependencies.monitor.newestSequenceOf(reported.id ?? '');
    return this.warmUps.evaluate(reported, warmupMs ?? 0, newest === (reported.sequence ?? 0));
  }

  /** A heartbeat of one that is gone needs no answer that makes anybody try again; one that is unclear does. */
  private refuseClaim(
    instance: whinyoke.IInstanceEntry,
    claim: ClaimOutcome,
  ): whinyoke.ICatalogReply {
    const { id, address } = instance;
    this.dependencies.log(Events.addressClaimRefused, {
      instance: id ?? '',
      address: address ?? '',
      claim,
    });
    return claim === 'refused' ? { outcome: CatalogOutcome.DONE } : UNAVAILABLE_REPLY;
  }
}

/** Whether an entry is that of an incarnation that ended, not only an older one of the present incarnation. */
function isOfFormerIncarnation(
  known: InstanceEntry,
  { born }: whinyoke.IInstanceEntry,
  order: EntryOrder,
): boolean {
  const isOther = (born ?? 0) !== 0 && (known.born ?? 0) !== 0 && born !== known.born;
  return order === 'late' && isOther;
}

function isUnchanged(
  known: whinyoke.IInstanceEntry | undefined,
  reported: whinyoke.IInstanceEntry,
): boolean {
  return (
    known !== undefined &&
    (reported.born || known.born) === known.born &&
    known.group === reported.group &&
    known.address === reported.address &&
    known.zone === reported.zone &&
    known.slots === reported.slots &&
    (known.isCold ?? false) === (reported.isCold ?? false) &&
    (known.state ?? InstanceState.READY) === (reported.state ?? InstanceState.READY)
  );
}
