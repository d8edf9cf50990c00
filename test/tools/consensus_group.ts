/**
 * Members of one replicated log in two regions on the simulated runtime, without other processes.
 */
import { RaftLog } from '../../src/consensus/raft_log.js';
import type { RaftRole } from '../../src/consensus/member_state.js';
import { RaftNode } from '../../src/consensus/raft_node.js';
import type { Member } from '../../src/consensus/membership.js';
import { APPOINTED_RAFT_OPTIONS } from '../../src/appointed/control/appointed_control.js';
import { hostOf } from '../../src/runtime/address.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SeededRandom } from '../../src/runtime/seeded_random.js';
import { Scheduler } from '../../lab/simulation/scheduler.js';
import {
  type MachineSurroundings,
  SimulatedMachine,
} from '../../lab/simulation/simulated_machine.js';
import { AddressBook } from '../../lab/simulation/virtual_messenger.js';
import { VirtualNetwork } from '../../lab/simulation/virtual_network.js';
import type { VirtualProcess } from '../../lab/simulation/virtual_process.js';

/** One-way delay between the two regions. */
const REGION_MS = 30;
const ZONE_MS = 1.4;
const JITTER_MS = 0.3;
const SYNC_MS = 5;
const CONNECT_TIMEOUT_MS = 120;

export interface RoleChange {
  readonly at: number;
  readonly member: string;
  readonly role: RaftRole;
  readonly term: number;
}

/** A machine that runs one member. */
class MemberMachine extends SimulatedMachine {
  node: RaftNode | undefined;

  constructor(
    readonly member: Member,
    private readonly initialMembers: readonly Member[],
    surroundings: MachineSurroundings,
    private readonly recordRoleChange: (change: RoleChange) => void,
  ) {
    super(member.id, member.address, surroundings);
  }

  protected override launch(_process: VirtualProcess, runtime: Runtime): void {
    void this.open(runtime);
  }

  private async open(runtime: Runtime): Promise<void> {
    const log = await RaftLog.open(runtime.folder);
    const machine = {
      apply: () => new Uint8Array(0),
      serialize: () => new Uint8Array(0),
      restore: () => undefined,
    };
    const { id, address } = this.member;
    const onRole = (role: RaftRole, term: number): void =>
      this.recordRoleChange({ at: this.surroundings.scheduler.now, member: id, role, term });
    const node = new RaftNode(id, address, runtime, log, machine, APPOINTED_RAFT_OPTIONS, {
      onRole,
    });
    runtime.messenger.serve((body) => node.handle(body));
    if (!log.snapshot) await node.bootstrap(this.initialMembers);
    this.node = node;
    node.start();
  }
}

export class ConsensusGroup {
  readonly scheduler = new Scheduler();
  readonly changes: RoleChange[] = [];
  readonly machines: readonly MemberMachine[];
  readonly random: SeededRandom;
  readonly network: VirtualNetwork;
  /** Called at each change of a role, at the moment of the change. */
  onRoleChange: (change: RoleChange) => void = () => undefined;

  /**
   * @param regionOf - region of each member; all members vote
   * @param lossShare - share of the messages whose first transmission is lost
   */
  constructor(seed: number, regionOf: readonly string[], lossShare = 0) {
    this.random = new SeededRandom(seed);
    const members = regionOf.map((_region, index) => ({
      id: `m${index}`,
      address: `10.0.0.${index + 1}:7000`,
      isLearner: false,
    }));
    const regionByHost = new Map(
      members.map(({ address }, index) => [hostOf(address), regionOf[index]!]),
    );
    this.network = new VirtualNetwork(this.scheduler, this.random, {
      hostMs: ZONE_MS,
      callerMs: ZONE_MS,
      jitterMs: JITTER_MS,
      lossShare,
      distanceMs: (from, to) => (regionByHost.get(from) === regionByHost.get(to) ? 0 : REGION_MS),
    });
    const surroundings = {
      scheduler: this.scheduler,
      network: this.network,
      addresses: new AddressBook(),
      random: this.random,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      syncMs: SYNC_MS,
    };
    const recordRoleChange = (change: RoleChange): void => {
      this.changes.push(change);
      this.onRoleChange(change);
    };
    this.machines = members.map(
      (member) => new MemberMachine(member, members, surroundings, recordRoleChange),
    );
  }

  /** The leader that has applied all entries committed before. */
  get leader(): RaftNode | undefined {
    return this.machines.find(({ isUp, node }) => isUp && node?.isReadyLeader)?.node;
  }

  /** Runs for a number of virtual milliseconds. */
  run(milliseconds: number): Promise<void> {
    return this.scheduler.runUntil(this.scheduler.now + milliseconds);
  }

  /** Powers all machines off, and on again at random times within `spreadMs`. */
  async losePower(downMs: number, spreadMs: number): Promise<void> {
    for (const machine of this.machines) machine.losePower();
    await this.run(downMs);
    for (const machine of this.machines) {
      this.scheduler.schedule(this.random.next() * spreadMs, () => machine.start());
    }
  }

  /**
   * Milliseconds until the last change of leader within `withinMs` from now; infinite if there is
   * no leader then.
   */
  async timeToStableLeader(withinMs: number): Promise<number> {
    const since = this.scheduler.now;
    const before = this.changes.length;
    await this.run(withinMs);
    if (!this.leader) return Infinity;
    const isAboutLeading = ({ role }: RoleChange): boolean => role === 'leader';
    const last = this.changes.slice(before).findLast(isAboutLeading);
    return last ? last.at - since : 0;
  }
}
