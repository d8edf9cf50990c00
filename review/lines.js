/** The wire's framing: CR LF ends a line; nothing else does. */

export class LineReader {
  constructor() {
    this.text = '';
  }

  /** Adds bytes and returns the lines that are complete now. */
  push(chunk) {
    this.text += chunk.toString('latin1');
    const lines = this.text.split('\r\n');
    this.text = lines.pop();
    return lines;
  }
}

/** Splits a line at its first blank. */
export function cut(text) {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

/** Shows a text on one line of a record. */
export function visible(text) {
  return text.replaceAll('\r', '\\r').replaceAll('\n', '\\n');
}
