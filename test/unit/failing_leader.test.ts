/** A leader of the replicated log whose own disk fails. */
import { setTimeout } from 'node:timers/promises';
import t from 'tap';
import type { RaftNode } from '../../src/consensus/raft_node.js';
import { FailingFolder } from '../tools/failing_folder.js';
import { openSingleMember, type PeerAnswerer } from '../tools/single_member.js';

/** Peers that vote for the member and confirm all entries. */
const confirmAll: PeerAnswerer = ({ voteRequest, appendRequest }) => {
  if (voteRequest) {
    const { term, receiver, preVote } = voteRequest;
    const knownTerm = preVote ? 0 : term;
    return Promise.resolve({ voteReply: { term: knownTerm, granted: true, voter: receiver } });
  }
  const { term, receiver, previousIndex, entries } = appendRequest!;
  const matchIndex = (previousIndex ?? 0) + (entries?.length ?? 0);
  return Promise.resolve({ appendReply: { term, success: true, matchIndex, follower: receiver } });
};

/** A member that leads and has stored the first entry of its term. */
async function openLeader(folder: FailingFolder): Promise<RaftNode> {
  const node = await openSingleMember(folder, confirmAll, {
    electionTimeoutMs: 50,
    heartbeatMs: 5,
  });
  node.start();
  for (let attempt = 0; attempt < 400 && !node.isReadyLeader; attempt++) await setTimeout(5);
  await node.log.writesSettled();
  return node;
}

/** Enough microtasks for a failed write to reach everything that waits for it. */
const MICROTASKS = 100;

// Without this, followers take one command and the former leader another as the same entry.
void t.test(
  'a leader whose write fails gives no second command the index of the lost entry',
  async (t) => {
    for (const operation of ['append', 'sync'] as const) {
      const folder = new FailingFolder();
      const node = await openLeader(folder);
      t.teardown(() => node.stop());
      t.equal(node.role, 'leader');
      folder.failNext(operation, 'none');
      const { currentTerm } = node;
      const index = node.log.lastIndex + 1;
      const command = new Uint8Array([0]);
      const outcomes = [node.propose(command)];
      for (let number = 1; number <= MICROTASKS; number++) {
        outcomes.push(node.propose(new Uint8Array([number])));
        await Promise.resolve();
      }
      await Promise.allSettled(outcomes);
      await node.log.writesSettled();
      const entry = node.log.entryAt(index);
      const isSame = entry?.term !== currentTerm || entry.command[0] === command[0];
      t.ok(isSame, `${operation} fails: entry ${index} of term ${currentTerm} keeps its command`);
    }
  },
);
