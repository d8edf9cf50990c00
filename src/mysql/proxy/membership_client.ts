/**
 * Tells control machines that this proxy lives, and learns from them which other proxies do. Each control
 * machine keeps its own list; a proxy merges the lists of all it can reach.
 */
import type { whinyoke } from '../../protocol/generated/messages.js';
import { type Clock, type Messenger, type Timer } from '../../runtime/runtime.js';

/** Another proxy. */
export interface ProxyMember {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Name of this run of the process; a restart has another one. */
  readonly incarnation: string;
}

/** Name of one run of one proxy. */
export function runName(proxy: Pick<ProxyMember, 'id' | 'incarnation'>): string {
  return `${proxy.id}/${proxy.incarnation}`;
}

/** What is known of the fleet. */
export interface MembershipView {
  readonly proxies: readonly ProxyMember[];
  /** Runs of proxies that any control machine in contact takes for alive. */
  readonly runs: ReadonlySet<string>;
  /** Instances that the platform's list calls leaving. */
  readonly leavingInstances: ReadonlySet<string>;
}

/** Lists of control machines that were silent for longer are used only when there is no other. */
const STALE_LIST_MS = 3000;

/** Timing, in milliseconds. */
export interface MembershipOptions {
  readonly heartbeatMs: number;
  readonly timeoutMs: number;
}

/** Defaults. */
const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = { heartbeatMs: 500, timeoutMs: 400 };

/** The list of one control machine. */
interface ControlList {
  epoch: string;
  version: number;
  readonly members: Map<string, ProxyMember>;
  leaving: readonly string[];
  /** Clock reading of the latest answer, in milliseconds. */
  answeredAt: number;
}

function memberOf(summary: whinyoke.IProxySummary): ProxyMember {
  return {
    id: summary.id ?? '',
    address: summary.address ?? '',
    zone: summary.zone ?? '',
    isDraining: summary.draining ?? false,
    incarnation: summary.incarnation ?? '',
  };
}

/** Takes in an answer; returns whether it changed the list. */
function applyReply(list: ControlList, reply: whinyoke.IHeartbeatReply, now: number): boolean {
  const leaving = reply.leaving ?? [];
  const changes = (reply.removed ?? []).length + (reply.changed ?? []).length;
  const isChanged = changes > 0 || leaving.join() !== list.leaving.join();
  list.answeredAt = now;
  if (reply.full) list.members.clear();
  for (const id of reply.removed ?? []) list.members.delete(id);
  for (const summary of reply.changed ?? []) {
    const member = memberOf(summary);
    list.members.set(member.id, member);
  }
  list.epoch = reply.epoch ?? '';
  list.version = reply.version ?? 0;
  list.leaving = leaving;
  return isChanged;
}

/** Membership of one proxy. */
export class MembershipClient {
  private readonly lists = new Map<string, ControlList>();
  private shownLists: readonly ControlList[] = [];
  private timer: Timer | undefined;
  private stopped = false;

  constructor(
    private readonly controls: readonly string[],
    private readonly clock: Clock,
    private readonly messenger: Messenger,
    private readonly report: () => whinyoke.IProxyReport,
    private readonly onView: (view: MembershipView) => void,
    private readonly options: MembershipOptions = DEFAULT_MEMBERSHIP_OPTIONS,
  ) {}

  /** Starts heartbeats. */
  start(): void {
    this.beat();
  }

  /** Stops heartbeats. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  /** Sends a heartbeat out of turn. */
  announce(): Promise<void> {
    const report = this.report();
    return Promise.all(this.controls.map((control) => this.send(control, report))).then(
      () => undefined,
    );
  }

  private beat(): void {
    if (this.stopped) return;
    void this.announce();
    this.timer = this.clock.setTimer(this.options.heartbeatMs, () => this.beat());
  }

  private async send(control: string, proxy: whinyoke.IProxyReport): Promise<void> {
    const list = this.listOf(control);
    const request = {
      heartbeatRequest: { proxy, epoch: list.epoch, knownVersion: list.version },
    };
    try {
      const body = await this.messenger.request(control, request, this.options.timeoutMs);
      if (!body.heartbeatReply || this.stopped) return;
      const isChanged = applyReply(list, body.heartbeatReply, this.clock.now());
      this.updateView(isChanged);
    } catch {
      // The former list stays, as advice for when no control machine answers.
    }
  }

  private listOf(control: string): ControlList {
    let list = this.lists.get(control);
    if (!list) {
      list = { epoch: '', version: 0, members: new Map(), leaving: [], answeredAt: -Infinity };
      this.lists.set(control, list);
    }
    return list;
  }

  /** Merging the lists costs time in proportion to the fleet, so it is done only when one changed. */
  private updateView(isChanged: boolean): void {
    const lists = this.currentLists();
    const isSame = lists.length === this.shownLists.length;
    const areSameLists = isSame && lists.every((list, index) => list === this.shownLists[index]);
    if (!isChanged && areSameLists) return;
    this.shownLists = lists;
    this.onView(this.view(lists));
  }

  private view(lists: readonly ControlList[]): MembershipView {
    const proxies = new Map<string, ProxyMember>();
    const leaving = new Set<string>();
    const runs = new Set<string>();
    for (const list of lists) {
      for (const member of list.members.values()) {
        runs.add(runName(member));
        const known = proxies.get(member.id);
        if (!known || member.isDraining) proxies.set(member.id, member);
      }
      for (const address of list.leaving) leaving.add(address);
    }
    return { proxies: [...proxies.values()], runs, leavingInstances: leaving };
  }

  private currentLists(): readonly ControlList[] {
    const all = [...this.lists.values()];
    const oldest = this.clock.now() - STALE_LIST_MS;
    const current = all.filter((list) => list.answeredAt >= oldest);
    return current.length > 0 ? current : all;
  }
}
