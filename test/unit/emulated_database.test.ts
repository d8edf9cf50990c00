/** The emulated instance where the proxy depends on it: waits for positions, kills, lost disks. */
import t from 'tap';
import { QUETZAL } from '../../lab/fleet/deployment.js';
import { World } from '../../lab/simulation/world.js';
import { ProtectionSet } from '../../src/mysql/gateway/protections.js';

const GROUP = 'payments';

async function startGroup(lagMs: number): Promise<World> {
  const world = new World({
    seed: 3,
    deployment: { ...QUETZAL, groups: [GROUP], controls: 1, proxies: 1 },
    protections: ProtectionSet.all,
    lagMs,
    electionTimeoutMs: 300,
  });
  for (const instance of world.instances) instance.start();
  await world.runUntil(() => world.primaryOf(GROUP) !== undefined, 5000);
  await world.run(500);
  return world;
}

void t.test('a replica waits for a GTID set, and says when it does not come', async (t) => {
  const world = await startGroup(200);
  const primary = world.primaryOf(GROUP)!.instance!;
  const replica = world.instances.find((item) => item.instance !== primary)!.instance!;
  const writer = (await world.runUntilSettled(primary.connect(), 1000))!;
  const reader = (await world.runUntilSettled(replica.connect(), 1000))!;
  await world.runUntilSettled(writer.execute('CREATE TABLE a (id INT PRIMARY KEY)'), 1000);
  const written = await world.runUntilSettled(
    writer.execute('INSERT INTO a (id) VALUES (1)'),
    1000,
  );
  const wait = (seconds: number): string =>
    `SELECT WAIT_FOR_EXECUTED_GTID_SET('${written!.gtid}', ${seconds})`;
  const tooShort = await world.runUntilSettled(reader.execute(wait(0.01)), 1000);
  t.same(tooShort?.rows, [[1]]);
  const enough = await world.runUntilSettled(reader.execute(wait(2)), 3000);
  t.same(enough?.rows, [[0]]);
  const read = await world.runUntilSettled(reader.execute('SELECT id FROM a'), 1000);
  t.same(read?.rows, [[1]]);
});

void t.test('KILL rolls back and frees row locks', async (t) => {
  const world = await startGroup(0);
  const primary = world.primaryOf(GROUP)!.instance!;
  const first = (await world.runUntilSettled(primary.connect(), 1000))!;
  const second = (await world.runUntilSettled(primary.connect(), 1000))!;
  const run = (session: typeof first, sql: string): Promise<unknown> =>
    world.runUntilSettled(session.execute(sql), 5000);
  await run(first, 'CREATE TABLE a (id INT PRIMARY KEY)');
  await run(first, 'BEGIN');
  await run(first, 'INSERT INTO a (id) VALUES (1)');
  await run(second, `KILL ${first.connectionId}`);
  await run(second, 'INSERT INTO a (id) VALUES (1)');
  await t.rejects(run(first, 'COMMIT'), { code: 1317 });
  t.equal(primary.usage.running, 0);
});

void t.test(
  'a member that lost its disk is not online before it received everything',
  async (t) => {
    const world = await startGroup(0);
    const primary = world.primaryOf(GROUP)!;
    const session = (await world.runUntilSettled(primary.instance!.connect(), 1000))!;
    await world.runUntilSettled(session.execute('CREATE TABLE a (id INT PRIMARY KEY)'), 1000);
    const [lost, other] = world.instances.filter((item) => item !== primary);
    lost!.loseDisk();
    other!.kill();
    lost!.start();
    await world.run(3000);
    t.notOk(lost!.instance!.member.isOnline, 'nobody knows whether it missed a term');
    other!.start();
    await world.runUntil(() => lost!.instance!.member.isOnline, 5000);
    t.ok(lost!.instance!.member.isOnline);
    t.ok(lost!.instance!.tables.has('a'));
  },
);
