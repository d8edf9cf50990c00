/**
 * Errors of a consensus member. They differ in what they say about the outcome of a proposal or
 * write.
 */
import { WhinyokeError } from '../errors/errors.js';

/** The proposal was not accepted by this member and had no effect. */
export const NotLeaderError = WhinyokeError.subclass('NotLeaderError');

/**
 * The member lost its leadership while the proposal was in flight; the proposal may still be
 * committed.
 */
export const LeadershipLostError = WhinyokeError.subclass('LeadershipLostError');

/** Entries sent by a leader could not be written to disk, so this member can't confirm them. */
export const NotDurableError = WhinyokeError.subclass('NotDurableError');

/**
 * Entries were rejected because an entry before them could not be written. They are not in the log.
 */
export const LogGapError = WhinyokeError.subclass('LogGapError');
