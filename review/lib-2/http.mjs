/**
 * Small HTTP helpers that the stand-ins and the client of the review share. Everything listens on the loopback address.
 */
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";
import { Buffer } from "node:buffer";
import http from "node:http";

export const host = "127.0.0.1";

/** Reads a whole request as JSON; undefined when it is not JSON. */
export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  try {
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
  } catch {
    return undefined;
  }
}

/** Answers with JSON. */
export function answer(response, status, body) {
  if (response.destroyed || response.writableEnded) return;
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { "content-type": "application/json", "content-length": String(bytes.length) });
  response.end(bytes);
}

/** Starts a server on a free port; `handle(request, response, url)` may be asynchronous. */
export async function serve(handle) {
  const server = http.createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://stand-in");
    response.on("error", () => undefined);
    Promise.resolve(handle(request, response, url)).catch(() => {
      answer(response, 500, {});
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { port, address: `${host}:${port}`, close };
}

/**
 * Sends one request on a connection of its own.
 * @returns the status and the body, or `status: 0` with the reason when there is no answer
 */
export async function send({ port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  return new Promise((resolve) => {
    const startedAt = Date.now();
    const finish = (result) => {
      clearTimeout(timer);
      resolve({ ...result, ms: Date.now() - startedAt });
    };
    const request = http.request({ host, port, method, path, headers, agent: false }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {
        finish({ status: 0, body: "cut" });
      });
      response.on("end", () => {
        finish({ status: response.statusCode, body: Buffer.concat(chunks).toString("utf8") });
      });
    });
    const timer = setTimeout(() => {
      request.destroy();
      finish({ status: 0, body: "no answer in time" });
    }, timeoutMs);
    request.on("error", (error) => {
      finish({ status: 0, body: error.code ?? error.message });
    });
    request.end(body);
  });
}

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
