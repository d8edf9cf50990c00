/** Asking the voters of a cluster for their votes. */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Member } from './membership.js';
import type { RaftNode } from './raft_node.js';

async function requestVote(
  node: RaftNode,
  voter: Member,
  request: whinyoke.IVoteRequest,
): Promise<boolean> {
  const voteRequest = { ...request, receiver: voter.id };
  try {
    const { messenger } = node.runtime;
    const timeout = node.options.electionTimeoutMs;
    const body = await messenger.request(voter.address, { voteRequest }, timeout);
    const reply = body.voteReply;
    if (reply?.voter !== voter.id) return false;
    node.onHigherTerm(reply.term ?? 0);
    return reply.granted ?? false;
  } catch {
    return false;
  }
}

/** Resolves with whether a majority of the voters, the node included, grants its vote; as soon as that is certain. */
export function collectVotes(node: RaftNode, request: whinyoke.IVoteRequest): Promise<boolean> {
  const { membership } = node;
  const granted = new Set([node.id]);
  const others = membership.voters.filter((voter) => voter.id !== node.id);
  return new Promise((resolve) => {
    if (membership.isQuorum(granted)) resolve(true);
    const possible = new Set([node.id, ...others.map(({ id }) => id)]);
    for (const voter of others) {
      void requestVote(node, voter, request).then((isGranted) => {
        if (isGranted) granted.add(voter.id);
        else possible.delete(voter.id);
        if (membership.isQuorum(granted)) resolve(true);
        else if (!membership.isQuorum(possible)) resolve(false);
      });
    }
  });
}

/** Votes of a node for itself; without a durable vote it can't take part, and its next election timeout tries again. */
export async function saveOwnVote(node: RaftNode, term: number): Promise<boolean> {
  try {
    await node.log.saveVote({ term, votedFor: node.id });
    return true;
  } catch {
    // Nobody was told of this vote, so nothing is lost.
    return false;
  }
}
