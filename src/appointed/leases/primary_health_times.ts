/**
 * DECISION: how long a primary must be silent, and for how long an opinion on it counts.
 *
 * Answers: a primary crashed, was cut off or stands still; or it is well and answers a proxy late.
 * Inputs: ages of statements and answers on each proxy, ages of reports on the leading control machine (milliseconds).
 * Rule: a proxy reports a primary as silent, refusing or healthy (`src/appointed/trust`); the leader counts the reports on
 *   the present epoch that are young enough (`src/appointed/failover/primary_health_opinions.ts`), and
 *   `failover_controller.ts` decides from the counts and the primary's own heartbeat.
 *
 * The two sides differ on purpose: a proxy reports a little before the leader counts, since a report travels. Pure.
 */

/**
 * At a proxy: statements without an answer for longer than this make a primary silent, in milliseconds. Measured
 * together with COUNTED_SILENCE_MS and a shorter hold by commits: docs/measurements/pieraksts.md ("silence of 350/400 ms").
 */
export const REPORTED_SILENCE_MS = 350;
/** At a proxy: an answer that is older than this says nothing of a primary, in milliseconds. A guess, not measured. */
export const ANSWER_LIFETIME_MS = 1500;
/**
 * At the leader: a silence counts once it has lasted for this long, in milliseconds. Measured
 * together with REPORTED_SILENCE_MS and a shorter hold by commits: docs/measurements/pieraksts.md ("silence of 350/400 ms").
 */
export const COUNTED_SILENCE_MS = 400;
/**
 * At the leader: a refusal counts once it has lasted for this long, in milliseconds, so that a restart of a proxy's
 * connections is none. A guess, not measured.
 */
export const COUNTED_REFUSAL_MS = 60;
/**
 * At the leader: a good report that is older than this does not count, in milliseconds. A proxy that is in touch renews its
 * report with each request, about every 300 ms; one that was cut off together with the primary must not vouch for it. A guess,
 * not measured.
 */
export const HEALTHY_REPORT_LIFETIME_MS = 700;
/** At the leader: a report of trouble that is older than this does not count, in milliseconds. A guess, not measured. */
export const UNHEALTHY_REPORT_LIFETIME_MS = 1300;
