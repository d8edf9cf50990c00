/** Elections of the replicated log with several simultaneous candidates. */
import t from 'tap';
import type { RaftNode } from '../../src/consensus/raft_node.js';
import type { whinyoke } from '../../src/protocol/generated/messages.js';
import type { DataFolder, MessageBody } from '../../src/runtime/runtime.js';
import { UNREACHABLE_PEERS, type PeerAnswerer, openSingleMember } from '../tools/single_member.js';

const ELECTION_MS = 20;
/** Round trip to another region. */
const ROUND_TRIP_MS = 60;

/** A folder that discards all writes. */
const DISCARDING_FOLDER: DataFolder = {
  read: () => Promise.resolve(undefined),
  append: () => Promise.resolve(),
  sync: () => Promise.resolve(),
  replace: () => Promise.resolve(),
  truncate: () => Promise.resolve(),
  remove: () => Promise.resolve(),
  list: () => Promise.resolve([]),
};

type Answerer = (request: whinyoke.IVoteRequest) => Promise<MessageBody>;

/** Opens member `b`; `answer` replies to its vote requests. */
function openMemberB(answer: Answerer): Promise<RaftNode> {
  const answerVotes = (body: MessageBody): Promise<MessageBody> =>
    body.voteRequest ? answer(body.voteRequest) : UNREACHABLE_PEERS(body);
  return openSingleMember(DISCARDING_FOLDER, answerVotes, { electionTimeoutMs: ELECTION_MS });
}

const VOTE_REQUEST_FROM_A = { term: 1, candidate: 'a', receiver: 'b', lastIndex: 1, lastTerm: 1 };

void t.test(
  'a member that has voted in a term grants no pre-vote to another candidate in it',
  async (t) => {
    const node = await openMemberB(() => Promise.reject(new Error('not answered')));
    const before = await node.handle({
      voteRequest: { ...VOTE_REQUEST_FROM_A, candidate: 'c', preVote: true },
    });
    t.match(before.voteReply, { granted: true });
    await node.handle({ voteRequest: VOTE_REQUEST_FROM_A });
    const after = await node.handle({
      voteRequest: { ...VOTE_REQUEST_FROM_A, candidate: 'c', preVote: true },
    });
    t.match(after.voteReply, { granted: false });
    const next = { ...VOTE_REQUEST_FROM_A, candidate: 'c', term: 2, preVote: true };
    t.match(
      (await node.handle({ voteRequest: next })).voteReply,
      { granted: true },
      'the next term',
    );
    node.stop();
  },
);

void t.test('a candidate yields to one that requested votes first', async (t) => {
  const asked: { term: number; preVote: boolean }[] = [];
  const node = await openMemberB(async (request) => {
    asked.push({ term: request.term ?? 0, preVote: request.preVote ?? false });
    // While the pre-vote is in flight, the other candidate requests the vote of this member.
    await node.handle({ voteRequest: VOTE_REQUEST_FROM_A });
    return { voteReply: { term: 1, granted: true, voter: 'c' } };
  });
  node.start();
  const isOver = (): boolean => asked.length > 0;
  while (!isOver()) await new Promise((resolve) => setTimeout(resolve, 1));
  await new Promise((resolve) => setTimeout(resolve, ELECTION_MS / 2));
  node.stop();
  t.same(
    asked.filter((request) => !request.preVote),
    [],
    'no vote is requested in a later term than that of the other candidate',
  );
  t.equal(node.currentTerm, 1);
});

void t.test(
  'a leader keeps its leadership when a later pre-vote of its own is granted',
  async (t) => {
    // Replies take longer than the wait between two attempts, as between regions.
    const answerLate: PeerAnswerer = async (body) => {
      const { voteRequest, appendRequest } = body;
      await new Promise((resolve) => setTimeout(resolve, ROUND_TRIP_MS));
      if (voteRequest) {
        const term = voteRequest.preVote ? 0 : (voteRequest.term ?? 0);
        return { voteReply: { term, granted: true, voter: voteRequest.receiver ?? '' } };
      }
      const { term = 0, previousIndex, entries, receiver } = appendRequest ?? {};
      const matchIndex = (previousIndex ?? 0) + (entries?.length ?? 0);
      return { appendReply: { term, success: true, matchIndex, follower: receiver ?? '' } };
    };
    const node = await openSingleMember(DISCARDING_FOLDER, answerLate, {
      heartbeatMs: ELECTION_MS,
      electionTimeoutMs: ROUND_TRIP_MS * 5,
      initialElectionTimeoutMs: ROUND_TRIP_MS / 2,
    });
    node.start();
    while (node.role !== 'leader') await new Promise((resolve) => setTimeout(resolve, 1));
    const term = node.currentTerm;
    await new Promise((resolve) => setTimeout(resolve, ROUND_TRIP_MS * 8));
    t.equal(node.role, 'leader');
    t.equal(node.currentTerm, term, 'no later term');
    node.stop();
  },
);

void t.test('a member that hears a leader votes for no other candidate', async (t) => {
  const node = await openMemberB(() => Promise.reject(new Error('not answered')));
  const preVote = { ...VOTE_REQUEST_FROM_A, term: 2, preVote: true };
  const isGranted = async (voteRequest: whinyoke.IVoteRequest): Promise<boolean> =>
    (await node.handle({ voteRequest })).voteReply?.granted ?? false;
  t.equal(await isGranted(preVote), true);
  const appendRequest = { term: 1, leader: 'c', receiver: 'b', previousIndex: 1, previousTerm: 1 };
  t.match((await node.handle({ appendRequest })).appendReply, { follower: 'b', term: 1 });
  const vote = { ...VOTE_REQUEST_FROM_A, term: 2 };
  t.equal(await isGranted(vote), false, 'its pre-vote was granted before');
  t.equal(node.currentTerm, 1);
  await new Promise((resolve) => setTimeout(resolve, 2 * ELECTION_MS));
  t.equal(await isGranted(vote), true);
  node.stop();
});

void t.test('the leader lease ends before the members that replied may vote', async (t) => {
  const electionTimeoutMs = 300;
  let isReplying = true;
  let askedAt = -Infinity;
  const answer: PeerAnswerer = ({ voteRequest, appendRequest }) => {
    if (!isReplying) return UNREACHABLE_PEERS({});
    if (voteRequest) {
      const { preVote, receiver, term } = voteRequest;
      const voteReply = { term: preVote ? 0 : (term ?? 0), granted: true, voter: receiver ?? '' };
      return Promise.resolve({ voteReply });
    }
    askedAt = performance.now();
    const { term = 0, previousIndex, entries, receiver } = appendRequest ?? {};
    const matchIndex = (previousIndex ?? 0) + (entries?.length ?? 0);
    const follower = receiver ?? '';
    return Promise.resolve({ appendReply: { term, success: true, matchIndex, follower } });
  };
  const node = await openSingleMember(DISCARDING_FOLDER, answer, {
    electionTimeoutMs,
    initialElectionTimeoutMs: ELECTION_MS,
  });
  t.equal(node.holdsLeaderLease, false);
  node.start();
  const hasLease = (): boolean => node.holdsLeaderLease;
  while (!hasLease()) await new Promise((resolve) => setTimeout(resolve, 1));
  t.equal(node.role, 'leader');
  isReplying = false;
  let leaseMs = 0;
  while (hasLease()) {
    leaseMs = performance.now() - askedAt;
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  t.equal(node.role, 'leader', 'it has not noticed that it is alone');
  t.ok(leaseMs < electionTimeoutMs, `it lasted ${leaseMs} ms`);
  node.stop();
});
