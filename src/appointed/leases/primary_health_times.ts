/**
 * How long a primary must be silent or refuse before it counts as unhealthy, and how long a health report stays valid.
 *
 * A proxy reports a primary as silent, refusing or healthy (`src/appointed/trust`); the leader counts the valid reports on
 * the current epoch (`src/appointed/failover/primary_health_reports.ts`). The proxy's threshold is lower than the leader's
 * because a report needs time to arrive.
 */

/** At a proxy: statements unanswered for longer than this make the primary silent. */
export const REPORTED_SILENCE_MS = 350;
/** At a proxy: an answer older than this is no evidence that the primary is healthy. */
export const ANSWER_LIFETIME_MS = 1500;
/** At the leader: reported silence counts once it has lasted this long. */
export const COUNTED_SILENCE_MS = 400;
/** At the leader: reported refusal counts once it has lasted this long, so that reconnecting proxies don't count. */
export const COUNTED_REFUSAL_MS = 60;
/**
 * At the leader: a healthy report older than this is ignored. A connected proxy renews its report about every 300 ms; a
 * proxy that was cut off together with the primary must not vouch for it.
 */
export const HEALTHY_REPORT_LIFETIME_MS = 700;
/** At the leader: an unhealthy report older than this is ignored. */
export const UNHEALTHY_REPORT_LIFETIME_MS = 1300;
