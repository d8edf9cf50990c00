/** Implements the operator commands: apply, withdraw, status, history and validate. */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { conflictBetween, readConfiguration } from '../mysql/configuration/configuration.js';
import { InvalidDocumentError, WhinyokeError, messageOf } from '../errors/errors.js';
import { whinyoke } from '../protocol/generated/messages.js';
import { RealClock } from '../runtime/real_clock.js';
import { delay } from '../runtime/runtime.js';
import { TcpMessenger } from '../runtime/tcp_messenger.js';
import { clientSettingsSchema, readSecret, readSettings } from '../mysql/configuration/settings.js';
import { OperatorClient, type SubmissionResult } from './operator_client.js';
import { formatStatus, mergeStatuses } from './status_view.js';

const { SubmissionKind, SubmissionOutcome } = whinyoke;

const WAIT_POLL_MS = 200;
const VERDICT_TEXT = ['not_run', 'ran', 'may_have_run'];
const OUTCOME_TEXT = ['accepted', 'conflict', 'invalid', 'not leader', 'no quorum', 'recheck'];

/** Options of a submission. */
export interface SubmissionOptions {
  readonly settings: string;
  /** Revision that the document is based on. */
  readonly base?: number;
  /** Identifier of an earlier attempt, to resend it or learn its outcome. */
  readonly submission?: string;
  readonly operator?: string;
  /** Wait until the revision is in force on every live proxy. */
  readonly wait: boolean;
  readonly timeoutMs: number;
}

async function withClient<T>(
  settingsFile: string,
  work: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const settings = readSettings(settingsFile, clientSettingsSchema);
  const sharedKey = Buffer.from(readSecret(settingsFile, settings.shared_key_file));
  const messenger = new TcpMessenger({ host: '127.0.0.1', port: 0, sharedKey });
  try {
    return await work(new OperatorClient(settings.controls, messenger, new RealClock()));
  } finally {
    await messenger.close();
  }
}

function readDocument(file: string): { name: string; text: string } {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new InvalidDocumentError(`${file}: ${messageOf(error)}`);
  }
  return { name: readConfiguration(text, file).name, text };
}

/** Validates files without submitting them. */
export function validateFiles(files: readonly string[]): void {
  const documents = files.map((file) => readConfiguration(readDocument(file).text, file));
  const conflict = conflictBetween(documents);
  if (conflict !== undefined) throw new InvalidDocumentError(conflict);
  for (const file of files) console.log(`${file}: valid`);
}

function printOutcome(name: string, result: SubmissionResult): boolean {
  const { reply, submissionId } = result;
  const outcome = OUTCOME_TEXT[reply.outcome ?? 0];
  const verdict = VERDICT_TEXT[reply.verdict ?? 0];
  const parts = [`${name}: ${outcome}`, `verdict=${verdict}`];
  if (reply.revision) parts.push(`revision=${reply.revision}`);
  if (reply.retryAfterMs) parts.push(`retry_after_ms=${reply.retryAfterMs}`);
  parts.push(`submission=${submissionId}`);
  if (reply.detail) parts.push(`- ${reply.detail}`);
  console.log(parts.join(' '));
  return (reply.outcome ?? SubmissionOutcome.ACCEPTED) === SubmissionOutcome.ACCEPTED;
}

/** Waits until every live proxy has the revision in force. */
async function waitUntilInForce(
  client: OperatorClient,
  revision: number,
  timeoutMs: number,
): Promise<void> {
  const clock = new RealClock();
  const deadline = clock.now() + timeoutMs;
  for (;;) {
    const { proxies } = mergeStatuses(await client.statuses());
    const behind = proxies.filter((proxy) => (proxy.revision ?? 0) < revision);
    console.log(`in force on ${proxies.length - behind.length} of ${proxies.length} proxies`);
    if (behind.length === 0) return;
    if (clock.now() >= deadline) {
      const names = behind.map((proxy) => proxy.id).join(', ');
      throw new WhinyokeError(`not yet in force on: ${names}`);
    }
    await delay(clock, WAIT_POLL_MS);
  }
}

async function submit(
  client: OperatorClient,
  name: string,
  kind: whinyoke.SubmissionKind,
  document: string,
  options: SubmissionOptions,
): Promise<void> {
  const submission: whinyoke.ISubmitRequest = {
    submissionId: options.submission ?? randomUUID(),
    kind,
    name,
    document,
    hasBaseRevision: options.base !== undefined,
    baseRevision: options.base ?? 0,
    operator: options.operator ?? userInfo().username,
  };
  const result = await client.submit(submission, options.timeoutMs);
  const accepted = printOutcome(name, result);
  if (!accepted) throw new WhinyokeError(`${name} was not accepted`);
  if (options.wait) await waitUntilInForce(client, result.reply.revision ?? 0, options.timeoutMs);
}

/** Submits files in order; stops at the first one that is not accepted. */
export async function applyFiles(
  files: readonly string[],
  options: SubmissionOptions,
): Promise<void> {
  const documents = files.map(readDocument);
  await withClient(options.settings, async (client) => {
    for (const { name, text } of documents) {
      await submit(client, name, SubmissionKind.APPLY, text, options);
    }
  });
}

export async function withdrawDocument(name: string, options: SubmissionOptions): Promise<void> {
  await withClient(options.settings, (client) =>
    submit(client, name, SubmissionKind.WITHDRAW, '', options),
  );
}

/** Prints the status of the deployment. */
export async function printStatus(settings: string, asJson: boolean): Promise<void> {
  await withClient(settings, async (client) => {
    const status = mergeStatuses(await client.statuses());
    console.log(asJson ? JSON.stringify(status, undefined, 2) : formatStatus(status));
    if (!status.controls.some((control) => control.answers)) {
      throw new WhinyokeError('no control machine answers');
    }
  });
}

/** Prints the newest accepted changes. */
export async function printHistory(
  settings: string,
  limit: number,
  asJson: boolean,
): Promise<void> {
  await withClient(settings, async (client) => {
    const entries = await client.history(limit);
    if (asJson) {
      console.log(JSON.stringify(entries, undefined, 2));
      return;
    }
    for (const entry of entries) {
      const kind = entry.kind === SubmissionKind.WITHDRAW ? 'withdraw' : 'apply';
      console.log(
        `${entry.revision} ${kind} ${entry.name} by ${entry.operator} (${entry.submissionId})`,
      );
    }
  });
}
