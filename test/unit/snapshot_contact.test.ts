/** Replies to snapshots that a leader takes for contact with a member. */
import t from 'tap';
import { type AppendSource, PeerReplicator } from '../../src/consensus/peer_replicator.js';
import { whinyoke } from '../../src/protocol/generated/messages.js';

const TERM = 1;

/** Contact with a member after its address answered a snapshot at time 100. */
async function contactAfter(reply: whinyoke.ISnapshotReply): Promise<number> {
  let now = 0;
  const messenger = {
    request: () => Promise.resolve({ snapshotReply: reply }),
  };
  const clock = { now: () => now, setTimer: () => ({ cancel: () => undefined }) };
  const source = {
    state: { id: 'a', log: { lastIndex: 5, snapshot: { lastIndex: 5 } }, observeTerm: () => null },
    runtime: { clock, messenger },
    options: { electionTimeoutMs: 10, heartbeatMs: 10 },
    appendRequestFrom: () => undefined,
    advanceCommit: () => undefined,
  };
  const peer = { id: 'b', address: 'b:1' };
  const replicator = new PeerReplicator(source as unknown as AppendSource, peer as never, TERM);
  now = 100;
  replicator.start();
  await new Promise(setImmediate);
  replicator.stop();
  return replicator.lastAnsweredRequestAt;
}

void t.test('another machine at the address of a member is no contact with it', async (t) => {
  t.equal(await contactAfter({ term: TERM, installed: false, matchIndex: 0 }), 0);
  t.equal(await contactAfter({ term: TERM, installed: true, matchIndex: 5 }), 100);
});
