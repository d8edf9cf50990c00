/** Parses network addresses of the form `host:port`. */

const MAX_PORT = 65_535;
const ADDRESS_PATTERN = /^[^\s:/]+:(\d{1,5})$/;

/** Whether a text has the form `host:port` with a port from 1 to 65535. */
export function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port > 0 && port <= MAX_PORT;
}

/** Splits an address into host and port without validating it. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

export function hostOf(address: string): string {
  return splitAddress(address).host;
}
