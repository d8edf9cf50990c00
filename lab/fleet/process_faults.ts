/** Faults on the real processes of a fleet: signals by process identifier, and the instances' fault ports. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '../../src/runtime/runtime.js';
import type { HistoryRecorder } from '../history/history.js';
import type { FaultLink } from './fault_link.js';
import type { Fleet } from './fleet.js';

type Restore = () => Promise<void>;

interface ProcessFault {
  readonly description: string;
  start(): Promise<Restore>;
}

function pick<T>(items: readonly T[], random: RandomSource): T {
  return items[random.integer(0, items.length - 1)]!;
}

/** Whether all members of a group are full members: a second lost disk of three would lose writes. */
async function isWhole(fleet: Fleet, group: string): Promise<boolean> {
  const members = fleet.layout.instances.filter((item) => item.group === group);
  const states = await Promise.all(members.map((item) => fleet.instanceState(item)));
  return states.every((state) => state.online);
}

const LINK_DELAY_MS = 150;

/** Faults of the link to an instance; none where there is no link. */
function linkFaults(link: FaultLink | undefined, name: string): (() => ProcessFault)[] {
  if (!link) return [];
  const restorable = (what: string, begin: () => () => void) => (): ProcessFault => ({
    description: `${what} the link to ${name}`,
    start: () => {
      const end = begin();
      return Promise.resolve(() => Promise.resolve(end()));
    },
  });
  return [
    restorable('silence', () => link.silence(['toServer', 'toClient'])),
    restorable('silence the answers on', () => link.silence(['toClient'])),
    restorable('silence the requests on', () => link.silence(['toServer'])),
    restorable('slow down', () => link.slowDown(LINK_DELAY_MS)),
    restorable('reset', () => {
      link.resetAll();
      return () => undefined;
    }),
  ];
}

/** A random fault of a fleet. */
function chooseFault(fleet: Fleet, random: RandomSource, history: HistoryRecorder): ProcessFault {
  const { layout } = fleet;
  const instance = pick(layout.instances, random);
  const proxy = pick(layout.proxies, random);
  const control = pick(layout.controls, random);
  const freeze = (name: string): ProcessFault => ({
    description: `freeze ${name}`,
    start: () => {
      fleet.signal(name, 'SIGSTOP');
      return Promise.resolve(() => Promise.resolve(fleet.signal(name, 'SIGCONT')));
    },
  });
  const kill = (name: string, restart: () => void): ProcessFault => ({
    description: `kill ${name}`,
    start: async () => {
      await fleet.kill(name);
      return () => Promise.resolve(restart());
    },
  });
  const setFault = (fault: object, end: object): ProcessFault => ({
    description: `${JSON.stringify(fault)} at ${instance.mysql}`,
    start: async () => {
      await fleet.fault(instance, fault);
      return () => fleet.fault(instance, end);
    },
  });
  const faults: readonly (() => ProcessFault)[] = [
    () => freeze(instance.mysql),
    () => freeze(proxy.id),
    () => freeze(control.id),
    () => kill(instance.mysql, () => fleet.startInstance(instance)),
    () => kill(control.id, () => fleet.startControl(control)),
    () => ({
      description: `kill ${proxy.id}`,
      start: async () => {
        history.add({ type: 'killed', at: performance.now(), proxy: proxy.id });
        await fleet.kill(proxy.id);
        return () => Promise.resolve(fleet.startProxy(proxy));
      },
    }),
    () => ({
      description: `planned stop of ${proxy.id}`,
      start: async () => {
        history.add({ type: 'stop', at: performance.now(), proxy: proxy.id });
        await fleet.stopOne(proxy.id);
        return () => Promise.resolve(fleet.startProxy(proxy));
      },
    }),
    () => ({
      description: `lose the disk of ${instance.mysql}`,
      start: async () => {
        if (!(await isWhole(fleet, instance.group))) return () => Promise.resolve();
        await fleet.loseDisk(instance);
        return () => Promise.resolve(fleet.startInstance(instance, true));
      },
    }),
    () => setFault({ isolate: 'both' }, { isolate: 'none' }),
    () => setFault({ isolate: 'outgoing' }, { isolate: 'none' }),
    () => setFault({ lag_ms: 1000 }, { lag_ms: 50 }),
    () => setFault({ slowness: 300 }, { slowness: 1 }),
    () => setFault({ leaving: true }, { leaving: false }),
    ...linkFaults(fleet.linkTo(instance), instance.mysql),
  ];
  return pick(faults, random)();
}

const LONGEST_FAULT_MS = 2500;
const LONGEST_PAUSE_MS = 800;

/** Breaks one thing after the other until the time is over, and puts each right again. */
export async function injectProcessFaults(
  fleet: Fleet,
  random: RandomSource,
  history: HistoryRecorder,
  durationMs: number,
): Promise<number> {
  const deadline = performance.now() + durationMs;
  let count = 0;
  while (performance.now() < deadline) {
    await sleep(random.next() * LONGEST_PAUSE_MS);
    await fleet.waitForInstances();
    const fault = chooseFault(fleet, random, history);
    const note = (prefix: string): void =>
      history.add({
        type: 'fault',
        at: performance.now(),
        description: prefix + fault.description,
      });
    note('');
    console.log(`  ${fault.description}`);
    const restore = await fault.start();
    count++;
    await sleep(100 + random.next() * LONGEST_FAULT_MS);
    await restore();
    note('end: ');
  }
  return count;
}
