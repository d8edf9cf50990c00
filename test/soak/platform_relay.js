/**
 * TCP relay in front of the platform. It keeps account of each call by the time at which all its bytes had come from the caller, and can
 * hold a call on its way: what a caller has sent is delivered even if the caller has given the connection up meanwhile, as by a
 * slow network.
 */
import { connect, createServer } from 'node:net';

/** Parses a whole HTTP request of a promotion; undefined while bytes are missing. */
function parseCall(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const head = text.slice(0, end);
  const field = (name) => new RegExp(`^${name}:\\s*(.*)$`, 'im').exec(head)?.[1].trim();
  const body = text.slice(end + 4);
  const length = field('content-length');
  const isWhole = length === undefined ? body.endsWith('0\r\n\r\n') : body.length >= Number(length);
  if (!isWhole) return undefined;
  const { service, id } = JSON.parse(/\{.*\}/s.exec(body)[0]);
  const token = Number(field('whinyoke-fencing-token'));
  return { holder: field('whinyoke-lease-holder'), token, service, id };
}

/** One connection of a caller; `sentAt` is the time of the last byte of its call, `deliveredAt` that of its delivery, in ms. */
class RelayedCall {
  constructor(relay, caller) {
    Object.assign(this, { relay, caller, text: '', acceptedAt: performance.now() });
    this.holdMs = 0;
    caller.on('data', (chunk) => this.take(chunk));
    caller.on('error', () => caller.destroy());
  }

  take(chunk) {
    if (this.isWhole) return;
    this.text += chunk.toString('latin1');
    const parsed = parseCall(this.text);
    if (!parsed) return;
    Object.assign(this, parsed, { isWhole: true, sentAt: performance.now() });
    this.relay.sent(this);
    if (this.holdMs === 0) this.deliver();
    else this.timer = setTimeout(() => this.deliver(), this.holdMs);
  }

  deliver() {
    this.deliveredAt = performance.now();
    const { relay, caller } = this;
    if (this.holdMs > 0) relay.record.note('relay', `delivers the held call ${this.description}`);
    this.platform = connect(relay.target, () => this.platform.write(this.text, 'latin1'));
    this.platform.on('data', (chunk) => this.answer(() => caller.write(chunk)));
    this.platform.on('close', () => this.answer(() => caller.end()));
    this.platform.on('error', () => this.platform.destroy());
  }

  /** Passes on a part of the answer, late if the relay is to answer late. */
  answer(pass) {
    const passIfOpen = () => !this.caller.destroyed && pass();
    if (this.relay.answerMs > 0) setTimeout(passIfOpen, this.relay.answerMs);
    else passIfOpen();
  }

  get description() {
    return `POST /promotion ${this.service} ${this.id} by ${this.holder}, token ${this.token}`;
  }

  close() {
    clearTimeout(this.timer);
    this.caller.destroy();
    this.platform?.destroy();
  }
}

export class PlatformRelay {
  /** @param {import('../../review/record.js').Record} record */
  constructor(record) {
    this.record = record;
    /** Connections of callers, also those over which nothing was sent. */
    this.calls = [];
    /** Called with each accepted connection, before anything else. */
    this.onAccept = () => {};
    /** Called with each call whose bytes have arrived; may set its `holdMs`. */
    this.onSent = () => {};
    /** How late answers are passed on, in ms. */
    this.answerMs = 0;
  }

  /** Calls that were sent, in the order of their last bytes. */
  get sentCalls() {
    const sent = this.calls.filter(({ isWhole }) => isWhole);
    return sent.sort((left, right) => left.sentAt - right.sentAt);
  }

  async listen(host, port, target) {
    this.target = target;
    this.server = createServer((caller) => this.accept(caller));
    await new Promise((resolve) => this.server.listen(port, host, resolve));
  }

  accept(caller) {
    this.onAccept();
    const call = new RelayedCall(this, caller);
    this.calls.push(call);
    this.record.note('relay', `accepts connection ${this.calls.length}`);
  }

  sent(call) {
    this.onSent(call);
    const what = call.holdMs > 0 ? `holds for ${call.holdMs} ms` : 'passes on';
    this.record.note('relay', `${what} ${call.description}`);
  }

  /** Calls that were sent under a lower token after one under a higher token. */
  get lateCalls() {
    const { sentCalls } = this;
    return sentCalls.filter((call, index) =>
      sentCalls.slice(0, index).some(({ token }) => token > call.token),
    );
  }

  close() {
    this.server?.close();
    for (const call of this.calls) call.close();
  }
}
