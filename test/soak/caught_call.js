/** Catches calls of control machines to the platform: at their connection, where the caller is stopped, or on their way. */
import { setImmediate } from 'node:timers/promises';
import { pause } from '../../review/record.js';

/** What a control machine logs when it begins a call. */
const INTENDED = '"stage":"intended"';
/** Time for which the caller runs between two stops, until its connection is accepted. */
const STEP_MS = 0.03;
const LONGEST_APPROACH_MS = 1500;
/** What was sent before the stop has arrived after this time. */
const ARRIVAL_MS = 20;

function spin(ms) {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt);
}

/** The intended call in what a control machine has written to its log; undefined if there is none. */
function intendedCall(output) {
  const lines = output.toString().split('\n');
  const line = lines.find((text) => text.includes(INTENDED) && text.endsWith('}'));
  return line && JSON.parse(line);
}

/** Resolves with the control machine that begins the next call, which is stopped then; undefined if none comes in time. */
async function stopNextCaller(deployment, timeoutMs, isHolderStopped) {
  const caller = new Promise((resolve) => {
    deployment.onOutput = (leader, chunk) => {
      const call = intendedCall(chunk);
      const name = isHolderStopped && call?.holder ? call.holder : leader;
      const child = call && deployment.processes.get(name);
      if (!child) return;
      deployment.onOutput = () => {};
      child.kill('SIGSTOP');
      resolve({ name, child, leader, instance: call.instance, isFollower: name !== leader });
    };
  });
  const stopped = await Promise.race([caller, pause(timeoutMs)]);
  deployment.onOutput = () => {};
  return stopped;
}

/** Lets a stopped caller run in short steps until its connection to the platform is accepted; resolves with whether it was. */
async function stepToConnection(child, relay) {
  let isAccepted = false;
  relay.onAccept = () => (isAccepted = true);
  const until = performance.now() + LONGEST_APPROACH_MS;
  await setImmediate();
  while (!isAccepted && performance.now() < until) {
    child.kill('SIGCONT');
    spin(STEP_MS);
    child.kill('SIGSTOP');
    await setImmediate();
  }
  relay.onAccept = () => {};
  return isAccepted;
}

/**
 * Stops the next caller of the platform as its connection is accepted: from the begin of the call on it runs in short steps, so
 * that the stop comes before it can send.
 * @param {boolean} [isHolderStopped] stops the holder of the appointment lease where the leader asks it to call, and not the leader
 * @returns its name and process, which is stopped, the instance of its call, when it was stopped, whether that was before it
 *   sent anything, and whether it calls for another machine; undefined if no call was begun in time
 */
export async function stopAtConnection({ deployment, relay }, timeoutMs, isHolderStopped = false) {
  const stopped = await stopNextCaller(deployment, timeoutMs, isHolderStopped);
  if (!stopped) return undefined;
  const sentBefore = relay.sentCalls.length;
  const isAccepted = await stepToConnection(stopped.child, relay);
  const at = performance.now();
  await pause(ARRIVAL_MS);
  const isReached = isAccepted && relay.sentCalls.length === sentBefore;
  return { ...stopped, at, isReached };
}

/**
 * Holds the next call to the platform, and stops or kills its caller.
 * @param {{ holdMs: number, timeoutMs: number, signal?: 'SIGSTOP' | 'SIGKILL' }} options the caller goes on without a signal
 * @returns as {@link stopAtConnection}, and the call
 */
export async function holdCall({ deployment, relay }, { holdMs, timeoutMs, signal }) {
  const caught = new Promise((resolve) => {
    relay.onSent = (call) => {
      relay.onSent = () => {};
      call.holdMs = holdMs;
      const { holder: name, id: instance } = call;
      const child = deployment.processes.get(name);
      if (signal) deployment.signal(name, signal);
      resolve({ name, child, instance, call, at: performance.now(), isReached: true });
    };
  });
  const held = await Promise.race([caught, pause(timeoutMs)]);
  relay.onSent = () => {};
  return held;
}
