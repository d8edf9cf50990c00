/**
 * One trial of a promotion that comes late: the primary crashes, and the control machine that calls the platform is stopped or
 * killed at that call, which is held on its way or not yet sent. Meanwhile another control machine leads.
 */
import { pause, until } from '../../review/record.js';
import { holdCall, stopAtConnection } from './caught_call.js';
import { PrimaryChangeTrial } from './primary_change_trial.js';
import { between } from './random.js';

/** The first call to the platform comes within this time after the crash of the primary. */
const FIRST_CALL_MS = 12_000;
const RESTART_MS = 300;
/** From the call to the moment at which the instance leads, with a margin. */
const EFFECT_MS = 800;
/** A caller that was held up for longer between its check and its sending was stopped exactly there. */
const LONGEST_SENDING_MS = 100;
/** A leader that is stopped for this long loses the lead, and keeps the appointment lease. */
const LEAD_LOST_MS = 700;
/** Time for a primary to be replaced: control holds a planned change back while a call may still take effect. */
const REPLACEMENT_MS = 15_000;
const SETTLED_MS = 1000;
/** `recovery_s` of the site. */
const SITE_RECOVERY_MS = 12_000;

export class LatePromotion extends PrimaryChangeTrial {
  /**
   * @param {{
   *   at: 'connection' | 'sent',
   *   stopMs?: [number, number],
   *   holdMs?: number,
   *   awayMs?: number,
   *   answerMs?: number,
   *   isFollower?: boolean,
   *   isLeaderKilled?: boolean,
   *   isReplaced?: boolean,
   *   isCrashedAgain?: boolean
   * }} plan when the caller is stopped, and for how long (killed and started again if left out), how long its call is held, how
   *   long the chosen instance is away meanwhile if no other one is called (not at all if left out), how late the platform
   *   answers all calls, whether the caller is a holder of the lease that does not lead and whether its leader is killed
   *   meanwhile, whether the promoted instance drains as soon as it leads, and whether it crashes for good soon after
   */
  constructor(plan, record, cleanUp, seed) {
    super(record, cleanUp, seed);
    this.plan = plan;
    if (plan.stopMs) this.stopMs = between(...plan.stopMs, this.random);
    this.site.relay.answerMs = plan.answerMs ?? 0;
  }

  /** Resolves with whether the caller was stopped where it was to be. */
  async disturb() {
    if (this.plan.isFollower && !(await this.letHolderFollow())) return false;
    const stopping = this.stopCaller();
    const former = this.crashPrimary();
    const stopped = await stopping;
    if (!stopped) throw new Error(`no call to the platform within ${FIRST_CALL_MS} ms`);
    if (!stopped.isReached || Boolean(this.plan.isFollower) !== Boolean(stopped.isFollower))
      return false;
    this.callerName = stopped.name;
    await Promise.all([
      this.resume(stopped),
      this.plan.awayMs && this.restartChosen(stopped),
      this.plan.isReplaced && this.replacePromoted(stopped),
      this.plan.isLeaderKilled && this.killLeader(stopped),
      this.bringBack(former),
      this.awaitDelivery(stopped),
    ]);
    await pause(EFFECT_MS);
    this.hearAll();
    if (this.plan.isReplaced) await this.checkReplaced(stopped, REPLACEMENT_MS);
    if (this.plan.isCrashedAgain) await this.crashPromoted(stopped);
    return true;
  }

  /** A stop between the last check and the sending can't be noticed by any process (docs/design/appointed-primaries.md). */
  wasMissed() {
    const wasStoppedAtSending =
      this.site.deployment.longestHeldMs(this.callerName) > LONGEST_SENDING_MS;
    return this.verdicts.hasLateCalls && wasStoppedAtSending;
  }

  /** A first crash, after which the leader that called loses the lead; resolves with whether it did. */
  async letHolderFollow() {
    const former = this.group.primary;
    former.crash();
    await this.bringBack(former);
    await pause(SETTLED_MS);
    const { holder } = this.site.relay.sentCalls.at(-1);
    const child = this.site.deployment.processes.get(holder);
    child.kill('SIGSTOP');
    await pause(LEAD_LOST_MS);
    child.kill('SIGCONT');
    await pause(SETTLED_MS);
    return this.site.deployment.leader !== holder;
  }

  /** Stops or kills the caller of the next call. */
  stopCaller() {
    const { at, stopMs, holdMs = 0, isFollower } = this.plan;
    if (at === 'connection') return stopAtConnection(this.site, FIRST_CALL_MS, isFollower);
    const signal = stopMs ? 'SIGSTOP' : 'SIGKILL';
    return holdCall(this.site, { holdMs, timeoutMs: FIRST_CALL_MS, signal });
  }

  async resume({ name, child, at }) {
    if (!this.plan.stopMs) {
      await pause(RESTART_MS);
      this.site.deployment.start(name);
      return;
    }
    await pause(at + this.stopMs - performance.now());
    child.kill('SIGCONT');
    this.record.note(name, `goes on after ${Math.round(performance.now() - at)} ms`);
  }

  async killLeader({ leader }) {
    this.site.deployment.signal(leader, 'SIGKILL');
    this.site.deployment.start(leader);
  }

  /** Restarts the chosen instance: it is away until another one is called for, and receives nothing for a while after its return. */
  async restartChosen({ instance, at }) {
    const chosen = this.group.find(instance);
    const { awayMs } = this.plan;
    chosen.crash();
    const isOtherCalled = () =>
      this.site.relay.sentCalls.some((call) => call.sentAt > at && call.id !== instance);
    const isDue = () => performance.now() > at + awayMs || isOtherCalled();
    await until('the chosen instance may come back', awayMs + 1000, isDue);
    chosen.isDeaf = true;
    await chosen.start();
  }

  /** The instance that was called for first drains once it leads, and receives nothing when it no longer does. */
  async replacePromoted({ instance, call }) {
    const promoted = this.group.find(instance);
    await until(
      'the call after the held one takes effect',
      call.holdMs,
      () => this.group.primary === promoted,
    );
    await pause(EFFECT_MS);
    promoted.isDeaf = true;
    await promoted.drain();
  }

  async checkReplaced({ instance }, withinMs) {
    const promoted = this.group.find(instance);
    const isReplaced = () => this.group.primary && this.group.primary !== promoted;
    const what = `another instance leads instead of ${instance}`;
    await until(what, withinMs, isReplaced).catch((error) =>
      this.verdicts.breaks.push(`RECOVER: ${error.message}`),
    );
  }

  /** The instance whose call was late crashes, and comes back only if no other one leads in time. */
  async crashPromoted({ instance }) {
    const promoted = this.group.find(instance);
    if (this.group.primary !== promoted) throw new Error(`${instance} does not lead`);
    promoted.crash();
    await this.checkReplaced({ instance }, SITE_RECOVERY_MS);
    await promoted.start();
  }

  hearAll() {
    for (const instance of this.group.instances) instance.isDeaf = false;
  }

  async awaitDelivery({ call }) {
    if (!call) return;
    await until('delivery of the held call', call.holdMs + 2000, () => call.deliveredAt);
    await pause(EFFECT_MS);
  }
}
