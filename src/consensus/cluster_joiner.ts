/**
 * Lets a control machine find or found its cluster, and maintains the membership on the leader.
 *
 * Each machine has an identity stored on its disk. A machine that lost its disk generates a new
 * identity and joins as a learner; it becomes a voter only when the leader promotes it in place of
 * the lost member. Reusing the old identity with an empty disk could lose votes and entries that
 * the old member had confirmed. See docs/design/control-membership.md.
 *
 * Requests that fail and writes that the disk refuses are repeated at the next tick.
 */
import { type Member, Membership } from './membership.js';
import { isSuperseded, nextMembership } from './elastic_membership.js';
import type { RaftNode } from './raft_node.js';
import type { whinyoke } from '../protocol/generated/messages.js';
import { type Runtime, type Timer } from '../runtime/runtime.js';

const IDENTITY_FILE = 'identity';
const MEMBERSHIP_CHECK_INTERVAL_MS = 300;
const REQUEST_TIMEOUT_MS = 500;

/** Reads the identity of this machine from its disk, or generates and stores one. */
export async function loadIdentity(runtime: Runtime, forced?: string): Promise<string> {
  if (forced !== undefined) return forced;
  const stored = await runtime.folder.read(IDENTITY_FILE);
  if (stored && stored.length > 0) return stored.toString('utf8');
  const identity = runtime.random.identifier();
  await runtime.folder.replace(IDENTITY_FILE, Buffer.from(identity));
  return identity;
}

/** Options of a cluster whose machines can join and leave at any address. */
interface ElasticOptions {
  /** Whether this machine may found a new cluster together with the other configured machines. */
  readonly mayBootstrap: boolean;
  /** Number of voters to maintain; all other machines stay learners. */
  readonly voterCount: number;
}

/** How a machine starts. */
export interface JoinerOptions {
  /**
   * Founds a cluster of one from the local state, after a majority of the disks was lost
   * permanently.
   */
  readonly recoversAsSingleMember: boolean;
  /**
   * Uses addresses as identities and bootstraps at once. Unsafe with lost disks; only for the lab.
   */
  readonly usesAddressesAsIds: boolean;
  /** Without it, the list of control machines is fixed. */
  readonly elastic?: ElasticOptions;
}

export class ClusterJoiner {
  private timer: Timer | undefined;
  private stopped = false;
  private isChangingMembership = false;

  constructor(
    private readonly node: RaftNode,
    private readonly runtime: Runtime,
    private readonly controlAddresses: () => readonly string[],
    private readonly options: JoinerOptions,
  ) {}

  /** Bootstraps where the options allow it without contacting other machines. */
  async prepare(): Promise<void> {
    const self = this.self();
    if (this.options.recoversAsSingleMember && this.hasMembership()) {
      await this.node.bootstrapFromState([self]);
    } else if (this.options.usesAddressesAsIds && !this.hasMembership()) {
      const members = this.controlAddresses().map((address) => ({
        id: address,
        address,
        isLearner: false,
      }));
      await this.node.bootstrap(members);
    }
  }

  /**
   * Starts the periodic check: joins a cluster if this machine has none, repairs the membership if
   * it leads.
   */
  start(): void {
    void this.tick();
  }

  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Handles a join request of another machine. */
  async onJoin(request: whinyoke.IJoinRequest): Promise<whinyoke.IJoinReply> {
    const { id, address } = request.member ?? {};
    const member: Member = { id: id ?? '', address: address ?? '', isLearner: true };
    if (this.node.role === 'leader' && !this.node.membership.find(member.id)) {
      await this.addLearner(member);
    }
    return {
      empty: !this.hasMembership(),
      member: this.memberMessage(),
      membership: this.node.membership.toMessage(),
      leaderAddress: this.node.leaderAddress,
    };
  }

  private self(): Member {
    return { id: this.node.id, address: this.node.address, isLearner: false };
  }

  private memberMessage(): whinyoke.IMember {
    return { id: this.node.id, address: this.node.address };
  }

  private hasMembership(): boolean {
    return this.node.membership.members.length > 0;
  }

  private async tick(): Promise<void> {
    if (this.stopped) return;
    try {
      await this.checkMembership();
    } catch {
      // A disk write failed, so no cluster was founded; the next tick retries.
    }
    if (this.stopped) return;
    this.timer = this.runtime.clock.setTimer(MEMBERSHIP_CHECK_INTERVAL_MS, () => void this.tick());
  }

  private async checkMembership(): Promise<void> {
    const hasLostLeader = this.options.elastic !== undefined && !this.node.hasQuorum;
    if (!this.node.membership.find(this.node.id)) await this.joinOrBootstrap();
    else if (this.node.role === 'leader') await this.maintainMembership();
    else if (hasLostLeader) await this.requestJoinFromAll();
  }

  private async joinOrBootstrap(): Promise<void> {
    const replies = await this.requestJoinFromAll();
    const areAllEmpty = !this.hasMembership() && replies.every((reply) => reply?.empty === true);
    if (!areAllEmpty || !this.mayBootstrap) return;
    const peers = replies.map((reply) => ({
      id: reply?.member?.id ?? '',
      address: reply?.member?.address ?? '',
      isLearner: false,
    }));
    const members = [this.self(), ...peers].sort((left, right) => (left.id < right.id ? -1 : 1));
    await this.node.bootstrap(members);
  }

  private get mayBootstrap(): boolean {
    const { elastic } = this.options;
    if (!elastic) return true;
    return elastic.mayBootstrap && this.controlAddresses().includes(this.node.address);
  }

  /** Sends a join request to all configured machines and to the leaders that their replies name. */
  private async requestJoinFromAll(): Promise<(whinyoke.IJoinReply | undefined)[]> {
    const others = this.controlAddresses().filter((address) => address !== this.node.address);
    const replies = await Promise.all(others.map((address) => this.requestJoin(address)));
    const leaders = new Set(replies.map((reply) => reply?.leaderAddress ?? ''));
    for (const address of leaders) {
      const isNotAskedYet =
        address !== '' && address !== this.node.address && !others.includes(address);
      if (isNotAskedYet) await this.requestJoin(address);
    }
    return replies;
  }

  private async requestJoin(address: string): Promise<whinyoke.IJoinReply | undefined> {
    const request = { joinRequest: { member: this.memberMessage() } };
    try {
      const { messenger } = this.runtime;
      const body = await messenger.request(address, request, REQUEST_TIMEOUT_MS);
      return body.joinReply ?? undefined;
    } catch {
      // Treated as unreachable; the next tick sends the request again.
      return undefined;
    }
  }

  private async addLearner(member: Member): Promise<void> {
    const isExpected = this.options.elastic || this.controlAddresses().includes(member.address);
    if (!isExpected || member.id === '' || this.isChangingMembership) return;
    await this.proposeMembership(this.node.membership.with(member));
  }

  private async maintainMembership(): Promise<void> {
    const { elastic } = this.options;
    if (!elastic) {
      await this.replaceLostMembers();
      return;
    }
    const next = nextMembership(this.node.membership, {
      leaderId: this.node.id,
      voterCount: elastic.voterCount,
      contactAgeMs: (id) => this.node.contactAgeMs(id),
      missingEntries: (id) => this.node.log.lastIndex - this.node.matchIndexOf(id),
    });
    if (next) await this.proposeMembership(next);
  }

  /**
   * Removes a member whose disk was lost; without any, promotes a learner that has caught up. In
   * this order a promotion needs no more members than are alive.
   */
  private async replaceLostMembers(): Promise<void> {
    const { membership } = this.node;
    const lost = membership.members.find((member) => this.isSuperseded(member));
    if (lost) {
      await this.proposeMembership(membership.without(lost.id));
      return;
    }
    const learner = membership.members.find((member) => member.isLearner);
    if (!learner) return;
    const lag = this.node.log.lastIndex - this.node.matchIndexOf(learner.id);
    if (lag <= 0) await this.proposeMembership(membership.with({ ...learner, isLearner: false }));
  }

  private isSuperseded(member: Member): boolean {
    return member.id !== this.node.id && isSuperseded(member, this.node.membership);
  }

  private async proposeMembership(next: Membership): Promise<void> {
    this.isChangingMembership = true;
    try {
      await this.node.changeMembership(next);
    } catch {
      // Leadership was lost or another change is in progress. The next tick of the leader compares
      // again.
    } finally {
      this.isChangingMembership = false;
    }
  }
}
