//! Settings like those of a small deployment: three classes, one of each effect.

pub struct Settings {
    pub ttl_ms: f64,
    pub target_ms: f64,
    pub grace_ms: f64,
    pub connect_timeout_ms: f64,
    pub may_cancel: bool,
    pub second_copies: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            ttl_ms: 3000.0,
            target_ms: 1000.0,
            grace_ms: 500.0,
            connect_timeout_ms: 250.0,
            may_cancel: true,
            second_copies: true,
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"Name":"{name}","Effect":"{effect}","Group":"all","WindowMs":12000.0,"TargetLatencyMs":{:.1},"TtlMs":{:.1},"Benefit":1.0,"LateBenefit":0.3,"Streaming":false}}"#,
                self.target_ms, self.ttl_ms
            )
        };
        format!(
            r#"{{"GroupSize":1,"MyNumber":0,"MyZone":"tallinn","Zones":["tallinn"],"Kinds":["big-box"],"Discovery":"automatic",
"Categories":[{},{},{}],
"Limits":{{"MostPushes":4,"MayCancel":{},"SecondCopies":{},"RetryAfter":true,"MaxRetryAfterMs":2000.0,"ConnectTimeoutMs":{:.1},"KeepaliveMs":60000.0,"Probes":false}},
"Reporting":{{"Via":"piggyback","Fields":["rif","q"]}},
"Obligations":{{"ColdShare":0.3,"ColdMs":1000.0,"FallMultiple":4.0,"FallMs":3000.0,"StopSendingWithinMs":{:.1},"AnswerSlackMs":20.0,"AskWithinMs":8000.0}}}}"#,
            class("stall-view", "read_like"),
            class("stock-update", "idempotency_key"),
            class("pay", "non_idempotent"),
            self.may_cancel,
            self.second_copies,
            self.connect_timeout_ms,
            self.grace_ms,
        )
    }
}
