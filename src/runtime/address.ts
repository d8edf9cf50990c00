/** Addresses of the form `a.b.c.d:port`. Owns nothing. */

const LARGEST_PORT = 65_535;
const ADDRESS_PATTERN = /^[^\s:/]+:(\d{1,5})$/;

/** Whether a text names a host and a port. */
export function isAddress(text: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  return port > 0 && port <= LARGEST_PORT;
}

/** Host and port of an address, which is not checked. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Host of an address. */
export function hostOf(address: string): string {
  return splitAddress(address).host;
}
