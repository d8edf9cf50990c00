/**
 * Changes and reads the catalog on behalf of operators and instances. Any control machine accepts
 * requests and forwards them to the leader. A change is acknowledged only once a majority has it on
 * disk. Without a leader or a majority the sender gets UNAVAILABLE and must repeat the request; the
 * failure is logged.
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

const FORWARD_TIMEOUT_MS = 900;
const UNAVAILABLE_REPLY: whinyoke.ICatalogReply = { outcome: CatalogOutcome.UNAVAILABLE };

export interface CatalogServiceDependencies {
  readonly clock: Clock;
  /** Sends messages to other processes. */
  readonly messenger: Messenger;
  /** This machine's consensus member. */
  readonly node: Pick<RaftNode, 'role' | 'isReadyLeader' | 'leaderAddress' | 'address'>;
  /** The replicated state. */
  readonly catalog: Catalog;
  /** Newest heartbeats of instances. */
  readonly monitor: InstanceMonitor;
  /** Decides claims on addresses that another instance holds. */
  readonly claims: AddressClaims;
  /** Proposes a command to the replicated log. */
  readonly propose: Proposer;
  readonly log: DecisionLog;
}

export class CatalogService {
  private readonly warmUps: WarmUpMonitor;

  constructor(private readonly dependencies: CatalogServiceDependencies) {
    const { clock, catalog, node, log } = dependencies;
    // All machines apply the entry; only the leader logs it.
    const logAsLeader: DecisionLog = (event, fields) => node.isReadyLeader && log(event, fields);
    this.warmUps = new WarmUpMonitor(clock, catalog, logAsLeader);
  }

  /** Handles a request here or forwards it to the leader. */
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
      this.logFailure(request, `forwarding to leader ${leaderAddress} failed: ${messageOf(error)}`);
      return UNAVAILABLE_REPLY;
    }
  }

  /** Handles a request as the leader. */
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
   * Also proposes an order that is already in effect. The entry changes nothing, but it proves that
   * this machine leads, and it follows any uncommitted order for the zone.
   */
  private async putEvacuation(order: whinyoke.IEvacuationOrder): Promise<whinyoke.ICatalogReply> {
    await this.dependencies.propose({ putEvacuation: order });
    return { outcome: CatalogOutcome.DONE };
  }

  private async readDocument(): Promise<whinyoke.ICatalogReply> {
    await this.confirmLeadership();
    return { outcome: CatalogOutcome.DONE, document: this.dependencies.catalog.document };
  }

  /** Committing an empty entry proves that no other member led in the meantime. */
  private async confirmLeadership(): Promise<void> {
    await this.dependencies.propose({});
  }

  /**
   * Removes other instances at an address, because the sender of the heartbeat is the one that is
   * there.
   */
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

  /**
   * Marks an instance as gone. An incarnation later than the known one is recorded with its own
   * number.
   */
  private async recordDeregistration(
    known: InstanceEntry | undefined,
    { id, born, sequence, incarnation }: whinyoke.IInstanceEntry,
    order: EntryOrder,
  ): Promise<whinyoke.ICatalogReply> {
    const goneEntry = { ...known, id, state: InstanceState.GONE };
    if (known && order === 'next')
      await this.putInstance(known, { ...goneEntry, born, sequence, incarnation });
    else if (known?.state !== InstanceState.GONE)
      await this.dependencies.propose({ putInstance: { ...goneEntry, born: born || known?.born } });
    return { outcome: CatalogOutcome.DONE };
  }

  /**
   * An entry with an earlier start time gets the next incarnation number if the known incarnation
   * may have ended. This happens if the clock of the instance's machine was set back.
   */
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

  /**
   * The sender of a refused claim is gone, so the reply is DONE and causes no retry. After an unclear
   * claim the sender must retry.
   */
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

/**
 * Whether an entry is of an incarnation that ended, rather than an older entry of the current one.
 */
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
