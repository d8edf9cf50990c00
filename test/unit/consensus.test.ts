/**
 * The replicated log on the simulated runtime: elections, lost disks, even partitions, recovery.
 */
import t from 'tap';
import { whinyoke } from '../../src/protocol/generated/messages.js';
import { ControlCluster } from '../tools/control_cluster.js';

const { SubmissionOutcome, Verdict } = whinyoke;

for (const size of [3, 5]) {
  void t.test(`${size} machines keep accepted changes over a restart of all`, async (t) => {
    const cluster = new ControlCluster(size, size);
    await cluster.waitForLeader();
    const accepted = await cluster.apply('one');
    t.equal(accepted.verdict, Verdict.RAN);
    for (const control of cluster.controls) control.kill();
    for (const control of cluster.controls) control.start();
    await cluster.waitForLeader();
    t.equal(cluster.leader?.store.revision, 1);
    t.equal((await cluster.apply('two')).revision, 2);
  });

  void t.test(
    `${size} machines: an even partition accepts nothing and replies at once`,
    async (t) => {
      const cluster = new ControlCluster(size, size + 10);
      await cluster.waitForLeader();
      // One machine is down, the others are partitioned into two halves.
      cluster.controls.at(-1)!.kill();
      const others = cluster.controls.slice(0, -1);
      const half = others.length / 2;
      const heal = cluster.partition(others.slice(0, half), others.slice(half));
      await cluster.world.run(3000);
      const before = cluster.world.scheduler.now;
      const replies = await cluster.applyAtAll('split', others);
      t.ok(cluster.world.scheduler.now - before < 100, 'replies do not wait for a quorum');
      for (const reply of replies) {
        t.equal(reply.outcome, SubmissionOutcome.NO_QUORUM);
        t.equal(reply.verdict, Verdict.NOT_RUN);
      }
      heal();
      await cluster.waitForLeader();
      t.equal((await cluster.apply('after')).revision, 1);
    },
  );

  void t.test(
    `${size} machines: no change is lost if a second disk fails right after a repair`,
    async (t) => {
      const cluster = new ControlCluster(size, size + 20);
      await cluster.waitForLeader();
      for (const name of ['a', 'b', 'c']) await cluster.apply(name);
      for (const victim of cluster.controls.slice(0, 2)) {
        victim.loseDisk();
        await cluster.world.run(500);
        victim.start();
        const isWhole = await cluster.world.runUntil(() => cluster.allMachinesVote, 20_000);
        t.ok(isWhole, 'the machine is a voter again, with a new identity');
      }
      await cluster.waitForLeader();
      t.equal(cluster.leader?.store.revision, 3);
      t.equal((await cluster.apply('d')).revision, 4);
    },
  );
}

void t.test(
  'after the loss of a majority of disks no machine leads and the last disk keeps its state',
  async (t) => {
    const cluster = new ControlCluster(3, 5);
    await cluster.waitForLeader();
    await cluster.apply('kept');
    // The third machine learns of the commit with the next heartbeat.
    await cluster.world.run(500);
    const [first, second, third] = cluster.controls;
    first!.loseDisk();
    second!.loseDisk();
    first!.start();
    second!.start();
    await cluster.world.run(10_000);
    t.notOk(cluster.leader, 'no machine may lead');
    t.equal(third!.core?.store.revision, 1);
    for (const control of [first!, second!]) t.equal(control.core?.store.revision, 0);
  },
);

// Without this, two of three healthy machines accept nothing any more, and only an operator can help.
void t.test(
  'a machine that loses its disk again right after its repair costs no majority',
  async (t) => {
    for (const size of [3, 5]) {
      const cluster = new ControlCluster(size, size + 40);
      await cluster.waitForLeader();
      await cluster.apply('before');
      const victim = cluster.controls.find((control) => control.core !== cluster.leader)!;
      victim.loseDisk();
      victim.start();
      const isVoter = (): boolean =>
        cluster.leader?.node.membership.isVoter(victim.core?.node.id ?? '') ?? false;
      // The disk is lost before the promotion is committed.
      while (!isVoter()) await cluster.world.run(0.1);
      victim.loseDisk();
      await cluster.world.run(3000);
      const accepted = await cluster.apply('after');
      t.equal(accepted.verdict, Verdict.RAN, `${size} machines: the others accept changes`);
      victim.start();
      t.ok(
        await cluster.world.runUntil(() => cluster.allMachinesVote, 20_000),
        'all machines vote',
      );
    }
  },
);

void t.test('a machine that joins from an empty disk gets the bootstrap snapshot', async (t) => {
  // The seeds differ in which machine founds the cluster.
  for (let seed = 100; seed < 110; seed++) {
    const cluster = new ControlCluster(3, seed);
    await cluster.waitForLeader();
    t.equal((await cluster.apply('first')).revision, 1, `seed ${seed}`);
  }
});

void t.test(
  'resends get the first outcome, races have one winner, old base revisions conflict',
  async (t) => {
    const cluster = new ControlCluster(3, 7);
    await cluster.waitForLeader();
    const replies = await cluster.submitAll(
      cluster.submission('race', 'left', 0),
      cluster.submission('race', 'right', 0),
    );
    const [left, right] = [replies[0]!, replies[1]!];
    const outcomes = replies.map((reply) => reply.outcome ?? 0);
    t.same(outcomes.sort(), [SubmissionOutcome.ACCEPTED, SubmissionOutcome.CONFLICT]);
    const loser = left.outcome === SubmissionOutcome.CONFLICT ? left : right;
    const winner = loser === left ? 'right' : 'left';
    t.match(loser.detail, new RegExp(`submission ${winner}`));
    const [again] = await cluster.submitAll(cluster.submission('race', winner, 0));
    t.equal(again!.revision, 1);
    t.equal(cluster.leader?.store.revision, 1);
  },
);

void t.test(
  '1,000 changes: the latest survives a restart, and disk usage stays bounded',
  async (t) => {
    const cluster = new ControlCluster(3, 8);
    await cluster.waitForLeader();
    const sizes: number[] = [];
    for (let change = 1; change <= 1000; change++) {
      await cluster.apply('document', `change-${change}`);
      if (change % 500 === 0) sizes.push(cluster.leader!.node.log.byteLength);
    }
    for (const control of cluster.controls) control.kill();
    for (const control of cluster.controls) control.start();
    await cluster.waitForLeader();
    t.equal(cluster.leader?.store.revision, 1000);
    t.ok(sizes[1]! < sizes[0]! * 2.5, `bytes after 500 and 1,000 changes: ${sizes.join(', ')}`);
  },
);
