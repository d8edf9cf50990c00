/**
 * Requests the votes of all voters of a cluster. A voter that does not reply counts as a refusal;
 * the next election asks again.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Messenger } from '../runtime/runtime.js';
import type { Member } from './membership.js';
import type { MemberState } from './member_state.js';

export interface VoteCollectorDependencies {
  /** State of the candidate, with the voters. */
  readonly state: MemberState;
  readonly messenger: Messenger;
  /** A voter that does not reply within this time counts as a refusal. */
  readonly timeoutMs: number;
}

async function requestVote(
  { state, messenger, timeoutMs }: VoteCollectorDependencies,
  voter: Member,
  request: whinyoke.IVoteRequest,
): Promise<boolean> {
  const voteRequest = { ...request, receiver: voter.id };
  try {
    const body = await messenger.request(voter.address, { voteRequest }, timeoutMs);
    const reply = body.voteReply;
    if (reply?.voter !== voter.id) return false;
    state.observeTerm(reply.term ?? 0);
    return reply.granted ?? false;
  } catch {
    // No reply counts as no vote; the next election asks again.
    return false;
  }
}

/**
 * Resolves as soon as it is certain whether a majority of the voters, including this member, grants
 * its vote.
 */
export function collectVotes(
  dependencies: VoteCollectorDependencies,
  request: whinyoke.IVoteRequest,
): Promise<boolean> {
  const { id, membership } = dependencies.state;
  const granted = new Set([id]);
  const others = membership.voters.filter((voter) => voter.id !== id);
  return new Promise((resolve) => {
    if (membership.isQuorum(granted)) resolve(true);
    const possible = new Set([id, ...others.map((voter) => voter.id)]);
    for (const voter of others) {
      void requestVote(dependencies, voter, request).then((isGranted) => {
        if (isGranted) granted.add(voter.id);
        else possible.delete(voter.id);
        if (membership.isQuorum(granted)) resolve(true);
        else if (!membership.isQuorum(possible)) resolve(false);
      });
    }
  });
}
