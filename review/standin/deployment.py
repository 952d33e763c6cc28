"""A small deployment on loopback: the platform's store, endpoints, clients, and entry hosts as
separate processes. The stand-ins speak what the users' PROTOCOL page says; times are those of the
real clock. Needs nothing but Python's standard library."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the head of a message: the first line and the headers by lower-case name."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, headers, body=b""):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"

    def touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        self.revision += 1
        before = self.objects.get((kind, name))
        created = before["metadata"]["createdAt"] if before else self.revision
        metadata = {"name": name, "revision": self.revision, "createdAt": created,
                    "finalizers": [], "deletionRequested": False}
        value = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = value
        self.events.append((self.revision, kind, value, False))
        self.touch()
        return value

    def remove(self, kind, name):
        value = self.objects.pop((kind, name), None)
        if value is not None:
            self.revision += 1
            self.events.append((self.revision, kind, value, True))
            self.touch()
        return value

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, value = await self.call(method, target, body)
                writer.write(self.reply(status, value))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reply(self, status, value):
        return answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        if not path.startswith("/api/objects/"):
            return 404, None
        parts = path[len("/api/objects/"):].split("/")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET" and name is None:
            after = query.get("after", "")
            items = [value for (of, at), value in sorted(self.objects.items()) if of == kind and after < at]
            return 200, {"items": items[:500], "hasMore": len(items) > 500, "currentRev": self.revision}
        if method == "GET":
            value = self.objects.get((kind, name))
            return (200, value) if value else (404, None)
        if method == "DELETE":
            value = self.remove(kind, name)
            return (200, value) if value else (404, None)
        draft = json.loads(body)
        if method == "POST":
            name = draft["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, draft.get("spec"))
        value = self.objects.get((kind, name))
        if value is None:
            return 404, None
        wanted = draft.get("metadata", {}).get("revision")
        if wanted is not None and wanted != value["metadata"]["revision"]:
            return 409, value
        return 200, self.put(kind, name, draft.get("spec"), value["status"])

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            changed = self.changed
            events = [{"deleted": deleted, "object": value}
                      for revision, of, value, deleted in self.events if of == kind and since < revision]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint:
    """A sound endpoint: runs `slots` requests at a time, queues a few more, and refuses the rest with
    503 and Lavenderplank-Not-Executed. Drops a request when its connection closes."""

    QUEUE = 3
    IDLE_S = 10

    def __init__(self, record, number, service, zone, work_s, seed, slots=3):
        self.record, self.service, self.zone, self.slots = record, service, zone, slots
        self.id = f"i-{number:08x}"
        self.random = random.Random(seed * 1000 + number)
        self.work_s = work_s
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (time, attempt id, number of the connection)
        self.paths = {}  # by attempt id
        self.refused = 0
        self.answers = 0
        self.connections = 0

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self, sequence, state="ready"):
        return {
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": sequence, "coldRemaining": "0ms"},
        }

    async def serve(self, reader, writer):
        self.connections += 1
        connection = Connection(self, reader, writer, self.connections)
        try:
            await connection.serve()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def headers(self, attempt):
        return [("Lavenderplank-Attempt-Id", attempt),
                ("Lavenderplank-Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                ("Keep-Alive", f"timeout={self.IDLE_S}")]

    async def run(self, attempt, connection, closed):
        """Runs a request. Returns its whole answer, or None if its connection has closed."""
        if self.free.locked():
            if self.waiting >= self.QUEUE:
                self.refused += 1
                self.record.write(f"{self.id} refuses {attempt} on connection {connection}")
                return answer(503, self.headers(attempt) + [("Lavenderplank-Not-Executed", "1")])
            self.waiting += 1
            turn = asyncio.ensure_future(self.free.acquire())
            try:
                await asyncio.wait({turn, closed}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                self.waiting -= 1
            if not turn.done():
                turn.cancel()
                return None
        else:
            await self.free.acquire()
        self.running += 1
        self.runs.append((self.record.now(), attempt, connection))
        self.record.write(f"{self.id} runs {attempt} on connection {connection}")
        try:
            await asyncio.wait({closed}, timeout=self.work_s * self.random.uniform(0.7, 1.3))
        finally:
            self.running -= 1
            self.free.release()
        if closed.done():
            self.record.write(f"{self.id} drops {attempt}: its connection has closed")
            return None
        seal = f"3e1b.{self.id}.{attempt}"
        body = f"done {attempt} by {self.id}\n".encode()
        return answer(200, self.headers(attempt) + [("Lavenderplank-Server-Seal", seal)], body)

    async def send(self, connection, attempt, data):
        """Sends an answer. Overridden where an endpoint is at fault."""
        connection.write(data)

    async def began(self, connection, attempt):
        """A request was read. Overridden where an endpoint is at fault."""


class Connection:
    """One connection of an endpoint; it serves one request at a time."""

    def __init__(self, endpoint, reader, writer, number):
        self.endpoint, self.reader, self.writer, self.number = endpoint, reader, writer, number

    def write(self, data):
        if not self.writer.is_closing():
            self.writer.write(data)

    async def serve(self):
        endpoint = self.endpoint
        pending = b""
        while True:
            while b"\r\n\r\n" not in pending:
                data = await asyncio.wait_for(self.reader.read(65536), endpoint.IDLE_S)
                if not data:
                    return
                pending += data
            reader = asyncio.StreamReader()
            reader.feed_data(pending)
            line, headers = await read_head(reader)
            head = pending.index(b"\r\n\r\n") + 4
            length = int(headers.get("content-length", "0"))
            while len(pending) < head + length:
                data = await self.reader.read(65536)
                if not data:
                    return
                pending += data
            pending = pending[head + length:]
            attempt = headers.get("lavenderplank-attempt-id", "")
            endpoint.paths[attempt] = line.split(" ")[1]
            if headers.get("lavenderplank-expected-instance", endpoint.id) != endpoint.id:
                self.write(answer(421, [("Lavenderplank-Attempt-Id", attempt),
                                        ("Lavenderplank-Not-Executed", "1"),
                                        ("Lavenderplank-Instance-Id", endpoint.id)]))
                continue
            await endpoint.began(self, attempt)
            # No caller sends on before the answer, so a read that ends means that it has closed.
            closed = asyncio.ensure_future(self.reader.read(65536))
            data = await endpoint.run(attempt, self.number, closed)
            if closed.done():
                more = closed.result() if not closed.cancelled() and not closed.exception() else b""
                if not more:
                    return
                pending += more
            else:
                closed.cancel()
                try:
                    await closed
                except (asyncio.CancelledError, ConnectionError):
                    pass
            if data is None:
                return
            endpoint.answers += 1
            await endpoint.send(self, attempt, data)
            await self.writer.drain()


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return None
    return value


def fill_template(text, fields):
    """Fills in {{a.b}} and {{a.b|json}}, as the platform does for this project's template."""
    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(fields, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class Host:
    """An entry host: a process with the command of the deploy file."""

    def __init__(self, record, name, ip, zone, folder):
        self.record, self.name, self.ip, self.zone, self.folder = record, name, ip, zone, folder
        self.process = None
        self.disturbed_at = 0.0  # when it last was started or got a signal

    def settings(self, deployment):
        return {
            "nodeName": self.name, "role": "entry", "machineClass": "edge", "ip": self.ip,
            "zone": self.zone, "region": deployment.zones[self.zone], "zones": deployment.zones,
            "listen": {"frontend": f"{self.ip}:8548", "ready": f"{self.ip}:8542",
                       "control": f"{self.ip}:8544", "directory": f"{self.ip}:8546"},
            "internalPortRange": [7540, 7555],
            "seeds": [f"{host.ip}:8544" for host in deployment.hosts[:3]],
            "limits": {"cpuShare": 0.2},
            "bounds": deployment.bounds, "provider": {"address": deployment.store.address},
        }

    async def start(self, deployment):
        template = open(os.path.join(ROOT, deployment.role["template"])).read()
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            file.write(fill_template(template, self.settings(deployment)))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LAVENDERPLANK_NODE_FILE"] = path
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        words = deployment.role["run"].split()
        words[0] = os.path.join(ROOT, words[0])
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.disturbed_at = self.record.now()
        self.record.write(f"{self.name} starts")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self.disturbed_at = self.record.now()
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8542)
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line, _ = await asyncio.wait_for(read_head(reader), 2)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Deployment:
    """Store, endpoints and entry hosts. `zones` maps zones to regions."""

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self.zones = zones
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.endpoints, self.hosts, self.tasks = [], [], []
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.role = deploy["roles"]["entry"]
        self.bounds = {"grace": "6s", "ttl_max": "5s", "maxShift": 0.15, "budgetRatio": 0.2, "budgetSlack": 64}
        # Each machine has an address of its own on loopback, with the same ports, as on the platform.
        for net in random.sample(range(20, 250), 40):
            self.net = f"127.{net}.0"
            if self.is_free(f"{self.net}.11") and self.is_free(f"{self.net}.12"):
                break
        else:
            raise CannotRun("no free loopback addresses")

    @staticmethod
    def is_free(ip):
        try:
            for port in (7540, 7541, 7542, 8542, 8544, 8546, 8548):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return True
        except OSError:
            return False

    def add_host(self, zone):
        number = len(self.hosts) + 1
        host = Host(self.record, f"edge-{zone}-{number}", f"{self.net}.{10 + number}", zone, self.temp)
        self.hosts.append(host)
        return host

    async def start(self, config):
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("the program is not built")
        await self.store.start(f"{self.net}.1")
        for endpoint in self.endpoints:
            await endpoint.start(f"{self.net}.2")
            self.store.put("servers", endpoint.id, endpoint.entry(1))
        self.config = config
        self.store.put("config", "main", config)
        for host in self.hosts:
            await host.start(self)
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await host.is_ready() for host in self.hosts]):
                break
        else:
            raise CannotRun("the hosts were not ready in 10 s")
        await asyncio.sleep(2)
        self.record.write("all hosts are ready")

    async def stop(self):
        for host in self.hosts:
            process = host.process
            if process and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def rule(name, kind, prefix, service, timeout_ms, latency_ms, attempts=2):
    return {"name": name, "kind": kind, "targetLatency": f"{latency_ms}ms", "priority": 1,
            "sessionAffinity": False, "match": {"pathPrefix": prefix},
            "action": {"service": service, "timeout": f"{timeout_ms}ms", "maxAttempts": attempts,
                       "allowedRegions": []}}


def configuration(version, hostname, rules, services):
    clusters = [{"name": name, "healthCheckPath": "/health", "maxConnections": 390, "protocol": "h1",
                 "tls": False, "coldStart": "3s", "coldPerS": 6.4} for name in services]
    return {"version": f"{version:08x}",
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms",
                       "idleTimeout": "15000ms"},
            "listeners": [{"hostname": hostname, "rules": rules}], "clusters": clusters}


class Client:
    """A sound client of one kind of request. It keeps connections open, and comes back once, on a new
    connection, after a promise that the request did not run."""

    def __init__(self, deployment, hostname, method, path, deadline_ms, seed):
        self.deployment, self.record = deployment, deployment.record
        self.hostname, self.method, self.path, self.deadline_ms = hostname, method, path, deadline_ms
        self.random = random.Random(seed)
        self.idle = {}
        self.answers = {}  # attempt id -> (status or None, headers, body)
        self.hosts = {}  # attempt id -> the host that it was sent to
        self.sent = 0

    def content(self, number, attempt):
        """Path and body of a request for one of 24 objects."""
        return f"{self.path}{number}", f'{{"seats":2,"order":"{attempt}"}}'.encode()

    def choose_host(self):
        return self.random.choice(self.deployment.hosts)

    async def request(self):
        """One request, with its repeat. Returns the last status; None if there was no answer."""
        until = time.monotonic() + self.deadline_ms / 1000
        for attempt in range(2):
            status, headers = await self.attempt(until, fresh=0 < attempt)
            if status not in (429, 503, 408, 421):
                return status
            wait = float(headers.get("retry-after", "0.1"))
            left = until - time.monotonic()
            if left / 3 < wait:
                return status
            await asyncio.sleep(wait)
        return status

    async def attempt(self, until, fresh):
        attempt = f"{self.random.getrandbits(64):016x}"
        host = self.choose_host()
        self.sent += 1
        self.hosts[attempt] = host
        self.record.write(f"client sends {attempt} to {host.name}")
        left = until - time.monotonic()
        try:
            status, headers, body = await asyncio.wait_for(self.exchange(host, attempt, left, fresh), left)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, headers, body = None, {}, b""
            self.record.write(f"client gets no answer to {attempt}: {type(error).__name__}")
        else:
            self.record.write(f"client gets {status} to {attempt}")
        self.answers[attempt] = (status, headers, body)
        return status, headers

    async def exchange(self, host, attempt, left, fresh):
        idle = self.idle.setdefault(host.name, [])
        pair = None
        while idle and not fresh and pair is None:
            pair = idle.pop()
            if pair[0].at_eof() or pair[1].is_closing():
                pair = None
        reader, writer = pair or await asyncio.open_connection(host.ip, 8548)
        try:
            number = self.random.randrange(24)
            path, body = self.content(number, attempt)
            lines = [f"{self.method} {path} HTTP/1.1", f"Host: {self.hostname}",
                     f"Lavenderplank-Attempt-Id: {attempt}", f"Cookie: Lavenderplank-Affinity-Key={number}",
                     f"Lavenderplank-Time-Remaining: {int(left * 1000)}"]
            if self.method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + (body if self.method == "POST" else b""))
            line, headers = await read_head(reader)
            content = await read_body(reader, headers)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append((reader, writer))
        return int(line.split(" ")[1]), headers, content


async def offer(client, per_s, length_s, seed):
    """Sends requests at random times, `per_s` a second."""
    draw = random.Random(seed)
    tasks = []
    until = time.monotonic() + length_s
    at = time.monotonic()
    while True:
        at += draw.expovariate(per_s)
        if until <= at:
            break
        await asyncio.sleep(max(0, at - time.monotonic()))
        tasks.append(asyncio.ensure_future(client.request()))
    return await asyncio.gather(*tasks)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def guarded():
        return await asyncio.wait_for(case(), 115)
    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # whatever it is, the case has not run
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
