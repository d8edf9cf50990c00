/**
 * How a control machine finds its place in the cluster.
 *
 * A machine is known by a name that lives on its disk. One whose disk was lost makes a new name, joins as
 * a learner, and votes only when the leader made it a voter in place of the lost one: an old name with
 * an empty disk could forget what it had confirmed. See docs/design/control-membership.md.
 *
 * Owns the timer of the search and whether a change of membership is under way. Relies on the other control machines, which may
 * be out of reach, and on the disk: each tick tries again what failed.
 */
import { type Member, Membership } from './membership.js';
import { nextMembership } from './elastic_membership.js';
import type { RaftNode } from './raft_node.js';
import type { whinyoke } from '../protocol/generated/messages.js';
import { type Runtime, type Timer } from '../runtime/runtime.js';

const IDENTITY_FILE = 'identity';
/** Time between two looks at the place of this machine, in milliseconds. A guess, not measured. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 300;
/** Time for a machine to answer, in milliseconds. A guess, not measured. */
const REQUEST_TIMEOUT_MS = 500;

/** Name of this machine from its disk, made when there is none. */
export async function loadIdentity(runtime: Runtime, forced?: string): Promise<string> {
  if (forced !== undefined) return forced;
  const stored = await runtime.folder.read(IDENTITY_FILE);
  if (stored && stored.length > 0) return stored.toString('utf8');
  const identity = runtime.random.identifier();
  await runtime.folder.replace(IDENTITY_FILE, Buffer.from(identity));
  return identity;
}

/** Rules of a cluster whose machines come and go at any address. */
interface ElasticOptions {
  /** Whether this machine may found a cluster with the others of its list. */
  readonly mayBootstrap: boolean;
  /** Number of voters to keep; other machines stand by as learners. */
  readonly voterCount: number;
}

/** How to begin. */
export interface JoinerOptions {
  /** Begin a new cluster of one from the state on this disk, after a majority of the disks was lost for good. */
  readonly recoversAsSingleMember: boolean;
  /** Take addresses for names and begin at once. Unsafe; only for the lab. */
  readonly usesAddressesAsIds: boolean;
  /** Without it, the list of control machines is fixed. */
  readonly elastic?: ElasticOptions;
}

/** Joiner of one control machine. */
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

  /** Settles what can be settled without other machines. */
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

  /** Looks for a cluster when this machine has none, and repairs the membership when it leads. */
  start(): void {
    void this.tick();
  }

  /** Stops. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Answers a machine that looks for a cluster. */
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
      // The disk refused a write, so this machine founded nothing; the next tick tries again.
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

  /** Asks all machines of the list, and the leader that they name, to be taken in. */
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
      // Counts as a machine that is not there; the next tick asks it again.
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
      await this.promoteLearners();
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

  /** Makes learners that have caught up voters, then removes the machines they replace. */
  private async promoteLearners(): Promise<void> {
    const { membership } = this.node;
    const learner = membership.members.find((member) => member.isLearner);
    if (learner) {
      const lag = this.node.log.lastIndex - this.node.matchIndexOf(learner.id);
      if (lag <= 0) await this.proposeMembership(membership.with({ ...learner, isLearner: false }));
      return;
    }
    const replaced = membership.voters.find((voter) => this.isReplaced(voter));
    if (replaced) await this.proposeMembership(membership.without(replaced.id));
  }

  /** Members are appended in the order they joined: a later one at the same address replaces. */
  private isReplaced(member: Member): boolean {
    const { voters } = this.node.membership;
    const sameAddress = voters.filter((voter) => voter.address === member.address);
    const isNewest = sameAddress.at(-1)?.id === member.id;
    return !isNewest && member.id !== this.node.id;
  }

  private async proposeMembership(next: Membership): Promise<void> {
    this.isChangingMembership = true;
    try {
      await this.node.changeMembership(next);
    } catch {
      // The leadership was lost or a change is under way. The next tick compares again, on the machine that leads then.
    } finally {
      this.isChangingMembership = false;
    }
  }
}
