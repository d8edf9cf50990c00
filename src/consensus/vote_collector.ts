/**
 * Asks the voters of a cluster for their votes.
 *
 * Relies on the voters' answers. One that can't be reached counts as a refusal; the next election timeout asks again.
 */
import type { whinyoke } from '../protocol/generated/messages.js';
import type { Messenger } from '../runtime/runtime.js';
import type { Member } from './membership.js';
import type { MemberState } from './member_state.js';

/** What the collector needs of its member. */
export interface VoteCollectorDependencies {
  /** The candidate's state, with the voters. */
  readonly state: MemberState;
  /** The way to the voters. */
  readonly messenger: Messenger;
  /** A voter that does not answer for so long counts as a refusal, in milliseconds. */
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
    // No answer is no vote. Nothing is lost: the member tries again after its next election timeout.
    return false;
  }
}

/** Resolves with whether a majority of the voters, this member included, grants its vote; as soon as that is certain. */
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
