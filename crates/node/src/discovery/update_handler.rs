//! Tells other nodes what they ask.

use std::rc::Rc;

use http::{Response, StatusCode, Uri};
use tokio::time::{Instant, timeout_at};

use crate::{
    config::ConfigVersion,
    distribution::{ConfigUpdate, UpdateRequest, UpdateResponse},
    node_core::NodeCore,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path at which a node tells others what they ask.
pub const UPDATE_PATH: &str = "/.geranium/follow";

/// Tells other nodes what they ask, as soon as there are news.
#[derive(Debug, Clone)]
pub struct UpdateHandler {
    core: Rc<NodeCore>,
}

impl UpdateHandler {
    /// Makes the port of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Answers a question.
    pub async fn answer(&self, uri: &Uri) -> Response<ResponseBody> {
        let question = uri.query().unwrap_or_default().parse::<UpdateRequest>();
        let Ok(question) = question else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        // Whoever waits follows this node; who doesn't asks in passing.
        if !question.wait.is_zero() {
            self.core.record_update_request();
        }
        let answer = self.wait_for_news(question).await;
        json_response(&answer).unwrap_or_else(|cause| {
            slog::error!(self.core.log.logger(), "news not written"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }

    async fn wait_for_news(&self, question: UpdateRequest) -> UpdateResponse {
        let until = Instant::now() + question.wait;
        loop {
            let heard = self.core.updates.notified();
            let answer = self.update_for(question);
            // A node that starts knows its own data centre at first.
            let members = &answer.members;
            let no_members = members.is_empty() || members.revision == 0;
            let empty = answer.config.is_none() && no_members && answer.crashes.is_empty();
            let changed = answer.store_lost != question.lost_known;
            if !empty || changed || Instant::now() >= until {
                return answer;
            }
            // The end of the wait is answered, too: it tells how old the
            // contact with the store is.
            let _ended = timeout_at(until, heard).await;
        }
    }

    fn update_for(&self, question: UpdateRequest) -> UpdateResponse {
        let now = self.core.clock.now();
        let relay_selector = self.core.relay_selector.borrow();
        UpdateResponse {
            store_age_ms: relay_selector.store_age(now).as_millis() as u64,
            store_lost: relay_selector.has_lost_store(),
            config: self.config_news(question.version),
            crashes: self.core.crashes.borrow().records_since(question.members),
            members: self.core.fleet.borrow().update_since(question.members),
        }
    }

    fn config_news(&self, version: ConfigVersion) -> Option<ConfigUpdate> {
        let updates = self.core.history.borrow().update_for(version);
        updates.unwrap_or_else(|cause| {
            slog::error!(self.core.log.logger(), "configuration not packed";
                "version" => self.core.version().0, "cause" => %cause);
            None
        })
    }
}
