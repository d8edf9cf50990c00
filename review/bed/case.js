/**
 * Runs one case: a scenario against a small deployment, with or without its disruption, and the check of one rule.
 *
 * Exits with 10 if the rule was broken, 0 if it held, 2 if the case couldn't run; `run.sh` turns 10 into 1, since Node.js
 * ends with 1 itself after an error. `TROUBLE=0` leaves the disruption out.
 */
import { createWriteStream } from 'node:fs';
import { Deployment } from './small_fleet.js';

const BROKEN = 10;
const HELD = 0;
const NOT_RUN = 2;
const TIME_LIMIT_MS = 115_000;

/** Writes what was sent, answered and run to the record, with milliseconds since the start. */
class CaseRecord {
  constructor(path) {
    this.startedAt = Date.now();
    this.file = createWriteStream(path);
  }

  note(text) {
    const ms = String(Date.now() - this.startedAt).padStart(6);
    this.file.write(`${ms} ms  ${text}\n`);
  }

  end() {
    return new Promise((resolve) => this.file.end(resolve));
  }
}

/** Text of a line as it was sent, with its control characters visible. */
export const shown = (text) => JSON.stringify(text).slice(1, -1);

/** Sends a statement and records it with its answer. */
export async function ask(record, session, id, text) {
  record.note(`${session.name} sends    QUERY ${id} ${shown(text)}`);
  const answer = await session.query(id, text);
  const words =
    answer.outcome === 'ok'
      ? `COMPLETE ${answer.signature}`
      : `${answer.outcome} ${answer.text ?? ''}`;
  const rows = (answer.rows ?? []).map((row) => ` ROW ${row}`).join('');
  record.note(
    `${session.name} receives${rows} ${words} READY ${answer.state ?? ''} ${answer.position ?? ''}`,
  );
  return answer;
}

/** Records what the instances of a deployment ran. */
export function recordRuns(record, deployment) {
  for (const { runs } of deployment.services) {
    for (const { at, instance, connection, id, text, values } of runs) {
      const ms = at - record.startedAt;
      const place = `${instance} on connection ${connection}`;
      record.note(
        `at ${ms} ms ${place} ran ${id} ${shown(text)} with values ${JSON.stringify(values)}`,
      );
    }
  }
}

/**
 * Runs a case and ends this process.
 * @param recordPath - the `record.txt` to write
 * @param options - of the deployment
 * @param scenario - gets the deployment, the record and whether there is trouble; resolves with the breaks of the rule
 */
export async function runCase(recordPath, options, scenario) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = new CaseRecord(recordPath);
  const deployment = new Deployment(options);
  let code = NOT_RUN;
  const timer = setTimeout(() => void finish(), TIME_LIMIT_MS);
  let isFinishing = false;
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => void finish());
  process.on('uncaughtException', (problem) => {
    if (isFinishing) return;
    record.note(`the case couldn't run: ${problem.message}`);
    code = NOT_RUN;
    void finish();
  });
  const finish = async () => {
    if (isFinishing) return;
    isFinishing = true;
    clearTimeout(timer);
    await deployment.stop();
    await record.end();
    process.exit(code);
  };
  try {
    await deployment.start();
    record.note(`deployment started, ${hasTrouble ? 'with' : 'without'} the disruption`);
    const breaks = await scenario(deployment, record, hasTrouble);
    for (const text of breaks) record.note(`BROKEN: ${text}`);
    record.note(breaks.length > 0 ? `the rule was broken ${breaks.length} times` : 'the rule held');
    code = breaks.length > 0 ? BROKEN : HELD;
    console.log(breaks.length > 0 ? breaks.slice(0, 3).join('\n') : 'the rule held');
  } catch (problem) {
    record.note(`the case couldn't run: ${problem instanceof Error ? problem.message : problem}`);
    code = NOT_RUN;
    console.error(problem);
  }
  await finish();
}
