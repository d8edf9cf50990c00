/** Errors of a consensus member, by what they say of the outcome. */
import { WhinyokeError } from '../errors/errors.js';

/** A proposal that was not accepted by this member; it had no effect. */
export const NotLeaderError = WhinyokeError.subclass('NotLeaderError');

/** The member lost its leadership while the proposal was under way; it may still be accepted. */
export const LeadershipLostError = WhinyokeError.subclass('LeadershipLostError');

/** A disk refused what a leader sent; this member can't confirm it. */
export const NotDurableError = WhinyokeError.subclass('NotDurableError');

/** Entries were refused: one before them could not be written. They are not in the log. */
export const LogGapError = WhinyokeError.subclass('LogGapError');
